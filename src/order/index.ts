/** Orders to the platform and to engines: the intent is committed first, then the order is sent, then its outcome kept. */
export * from "./orderBook/index.js";
