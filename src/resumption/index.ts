/** Where streams began: a stream that its caller takes up again must go on at the software version that began it. */
export * from "./streamStart/index.js";
export * from "./streamStartRegistry/index.js";
export * from "./streamStartTable/index.js";
