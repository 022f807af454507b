import { FencedCall, HolderTerm, RoutingPlatform } from "../../control/index.js";
import { HostId } from "../../ids/index.js";
import { Address, HeaderList } from "../../ports/index.js";

/**
 * Gives what writes the holder's calls to the platform.
 *
 * @param platform - Where its interface is.
 * @param self - Who acts.
 */
export function cloudCallsOf(
    platform: Address,
    self: HostId,
): Required<Pick<RoutingPlatform, "describeStarts" | "describeSize">> {
    const call = (path: string, body: unknown, term: HolderTerm): FencedCall => ({
        address: platform,
        path,
        headers: dutyHeaders(self, term),
        body,
    });
    return {
        describeStarts: ({ window, counts }, term) => call("/usage", { windowId: window, counts }, term),
        describeSize: ({ pool, zone, count, reclaimable }, term) => {
            // Each kind is ordered and counted by itself; the word is left out for steady ones.
            const kind = reclaimable ? { spot: true } : {};
            return call("/scale", { service: pool, zone, desiredCount: count, ...kind }, term);
        },
    };
}

/** Names who acts, and which term of the control lease it acts in. */
function dutyHeaders(self: HostId, { token }: HolderTerm): HeaderList {
    return [["sequoiamux-duty-holder", self], ["sequoiamux-fencing-token", String(token)]];
}
