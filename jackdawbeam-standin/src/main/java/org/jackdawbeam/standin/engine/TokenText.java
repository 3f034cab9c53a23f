package org.jackdawbeam.standin.engine;

/** Text of generated tokens. It depends only on prompt and position, so that a resumed response continues. */
public final class TokenText {
    private static final int VARIANTS = 97;

    private TokenText() {}

    /** Returns the token at a position of the response. */
    public static String at(int promptHash, int position) {
        return "t" + position + "x" + Math.floorMod(promptHash + position * 31, VARIANTS) + " ";
    }

    /** Returns the text of the complete response. */
    public static String answer(int promptHash, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int position = 0; position < tokens; position++) {
            text.append(at(promptHash, position));
        }
        return text.toString();
    }
}
