/** How announcements of upstreams get from the control process that took them to every entry and control process. */
export * from "./announcementFollower/index.js";
export * from "./announcementHub/index.js";
export type { NewsLevel } from "./news/index.js";
