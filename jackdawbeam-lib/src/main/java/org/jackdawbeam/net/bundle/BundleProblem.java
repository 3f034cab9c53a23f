package org.jackdawbeam.net.bundle;

/**
 * One error in a bundle file.
 *
 * @param line one-based line number in the file; zero if unknown
 * @param path location in the document as a JSON pointer
 * @param message description of the error and of valid values
 */
public record BundleProblem(int line, String path, String message) {}
