/** The INI file of a daemon: one table of settings, from which the parser and the page `docs/SETTINGS.md` are made. */
export * from "./formatPage/index.js";
export * from "./parseSettings/index.js";
export * from "./schema/index.js";
