/** The queue of each pool: order, admission, fair shares, shedding and grants. */
export * from "./admissionPolicy/index.js";
export * from "./attemptBudget/index.js";
export * from "./dispatcher/index.js";
export * from "./dispatchObserver/index.js";
export * from "./dispatchPolicies/index.js";
export * from "./failureOutcome/index.js";
export * from "./lengthEstimator/index.js";
export * from "./localDispatcher/index.js";
export * from "./order/index.js";
export * from "./poolOwnerTable/index.js";
export * from "./poolQueue/index.js";
export * from "./preemptionPolicy/index.js";
export * from "./recordDecline/index.js";
export { MAX_PACE_GAP_MS } from "./runningSet/index.js";
export * from "./sendGuard/index.js";
export * from "./spendingAllotments/index.js";
export * from "./ticket/index.js";
export * from "./waitingTicket/index.js";
