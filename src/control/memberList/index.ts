/** Peer method that queries the list of control processes; any control process replies with a `MemberList`. */
export const MEMBERS_METHOD = "control.members";

/** `IP:port` of each control process that is a member of the control log. */
export interface MemberList {
    readonly members: readonly string[];
}
