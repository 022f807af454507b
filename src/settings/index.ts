/**
 * The INI file of a daemon. One schema per role defines the settings; the parser and the page `docs/SETTINGS.md` are both
 * derived from it.
 */
export * from "./formatPage/index.js";
export * from "./parseSettings/index.js";
export * from "./schema/index.js";
