package org.jackdawbeam.net.bundle;

import java.io.StringReader;
import java.util.List;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Maps JSON pointers to line numbers of a YAML or JSON text. */
final class LineFinder {
    private final Node root;

    LineFinder(String text) {
        Node composed;
        try {
            composed = new Yaml(new SafeConstructor(new LoaderOptions())).compose(new StringReader(text));
        } catch (YAMLException e) {
            composed = null;
        }
        this.root = composed;
    }

    /**
     * Returns the one-based line of a JSON pointer, the line of the nearest existing parent if the pointer does not
     * resolve, or zero if the text cannot be parsed.
     */
    int lineOf(String pointer) {
        if (root == null) {
            return 0;
        }
        Node node = root;
        int line = root.getStartMark().getLine() + 1;
        for (String token : List.of(pointer.split("/"))) {
            if (token.isEmpty()) {
                continue;
            }
            node = child(node, token);
            if (node == null) {
                return line;
            }
            line = node.getStartMark().getLine() + 1;
        }
        return line;
    }

    private static Node child(Node parent, String token) {
        return switch (parent) {
            case MappingNode mapping -> valueOf(mapping, token);
            case SequenceNode sequence -> element(sequence, token);
            default -> null;
        };
    }

    private static Node valueOf(MappingNode mapping, String key) {
        for (NodeTuple tuple : mapping.getValue()) {
            if (tuple.getKeyNode() instanceof ScalarNode scalar
                    && scalar.getValue().equals(key)) {
                return tuple.getValueNode();
            }
        }
        return null;
    }

    private static Node element(SequenceNode sequence, String token) {
        boolean index = token.chars().allMatch(Character::isDigit);
        if (!index || Integer.parseInt(token) >= sequence.getValue().size()) {
            return null;
        }
        return sequence.getValue().get(Integer.parseInt(token));
    }
}
