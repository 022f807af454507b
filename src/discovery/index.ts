/** How announcements of upstreams get from the control process that took them to every entry and control process. */
export * from "./announcementPublisher/index.js";
export * from "./announcementSubscriber/index.js";
export type { UpdateLevel } from "./announcementUpdate/index.js";
