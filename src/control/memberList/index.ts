/** Asks a control process which others there are; the answer is a `MemberList`. Any of them answers. */
export const MEMBERS_METHOD = "control.members";

/** `IP:port` of each control process, as the control log has them. */
export interface MemberList {
    readonly members: readonly string[];
}
