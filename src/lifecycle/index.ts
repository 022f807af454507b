/**
 * Clean-up and wake-up of tasks. A `Lifecycle` collects the clean-up functions of what was started and runs them in reverse
 * order when it is closed; a `WaitCondition` wakes tasks that wait for a change.
 */
export * from "./lifecycle/index.js";
export * from "./waitCondition/index.js";
