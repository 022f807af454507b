/** Usage windows: each batch counted once, figures frozen when a window closes, limits shared out among hosts. */
export * from "./runStarts/index.js";
export * from "./sequenceSet/index.js";
export * from "./spendBook/index.js";
export * from "./startMeter/index.js";
export * from "./startsBook/index.js";
export * from "./usageBook/index.js";
export * from "./usageCommands/index.js";
