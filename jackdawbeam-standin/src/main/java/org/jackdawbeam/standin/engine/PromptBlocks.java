package org.jackdawbeam.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Hashes the block-aligned prefixes of a prompt for the emulated prefix cache. */
final class PromptBlocks {
    private static final int BLOCK_CHARACTERS = 256;
    private static final int MAXIMUM_BLOCKS = 32;

    private PromptBlocks() {}

    static List<Long> hashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = 1;
        int blocks = Math.min(MAXIMUM_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
        for (int block = 0; block < blocks; block++) {
            for (int index = block * BLOCK_CHARACTERS; index < (block + 1) * BLOCK_CHARACTERS; index++) {
                hash = hash * 31 + prompt.charAt(index);
            }
            hashes.add(hash);
        }
        return hashes;
    }
}
