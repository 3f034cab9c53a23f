package org.jackdawbeam.model.log;

/** Action that an order requests from an engine. */
public enum OrderAction {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER
}
