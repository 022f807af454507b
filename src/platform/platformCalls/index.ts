import { FencedCall, HolderTerm, RoutingPlatform } from "../../control/index.js";
import { HostId } from "../../ids/index.js";
import { Address, encodeHeaderText, HeaderList } from "../../ports/index.js";
import { listCounts } from "../../usage/index.js";

/**
 * Creates the functions that build the holder's calls to the platform.
 *
 * @param platform - Address of the platform's interface.
 * @param self - Host that makes the calls.
 */
export function makePlatformCalls(
    platform: Address,
    self: HostId,
): Required<Pick<RoutingPlatform, "describeStarts" | "describeSize">> {
    const call = (path: string, body: unknown, term: HolderTerm): FencedCall => ({
        address: platform,
        path,
        headers: makeFencingHeaders(self, term),
        body,
    });
    return {
        describeStarts: ({ window, counts }, term) => {
            const body = { windowId: window, counts: Object.fromEntries(listCounts(counts)) };
            return call("/usage", body, term);
        },
        describeSize: ({ pool, zone, count, reclaimable }, term) => {
            // Reclaimable and steady instances are ordered and counted separately; steady ones omit the `spot` field.
            const kind = reclaimable ? { spot: true } : {};
            return call("/scale", { service: pool, zone, desiredCount: count, ...kind }, term);
        },
    };
}

/** Identifies the calling host and its term of the control lease. */
function makeFencingHeaders(self: HostId, { token }: HolderTerm): HeaderList {
    return [["sequoiamux-duty-holder", encodeHeaderText(self)], ["sequoiamux-fencing-token", String(token)]];
}
