/**
 * Orders to the platform and to engines: the intent of an order is committed before the order is sent, and its outcome
 * afterwards.
 */
export * from "./orderLedger/index.js";
