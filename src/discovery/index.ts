/** Distribution of upstream announcements from the control process that received them to all entry and control processes. */
export * from "./announcementPublisher/index.js";
export * from "./announcementSubscriber/index.js";
export type { DepartureNotice, UpdateLevel } from "./announcementUpdate/index.js";
export { readRecords } from "./readUpdate/index.js";
