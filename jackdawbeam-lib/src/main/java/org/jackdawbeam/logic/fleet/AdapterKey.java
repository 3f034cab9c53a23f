package org.jackdawbeam.logic.fleet;

/**
 * Identifies an adapter of a model.
 *
 * @param model name of the model
 * @param adapter name of the adapter, unique for its model
 */
public record AdapterKey(String model, String adapter) {}
