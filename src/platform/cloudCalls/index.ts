import { FencedCall, HolderTerm, RoutingPlatform } from "../../control/index.js";
import { HostId } from "../../ids/index.js";
import { Address, HeaderList } from "../../ports/index.js";

/**
 * Gives what writes the holder's calls to the platform.
 *
 * @param platform - Where its interface is.
 * @param self - Who acts.
 */
export function cloudCallsOf(platform: Address, self: HostId): Pick<RoutingPlatform, "describeStarts"> {
    const call = (path: string, body: unknown, term: HolderTerm): FencedCall => ({
        address: platform,
        path,
        headers: dutyHeaders(self, term),
        body,
    });
    return {
        describeStarts: ({ window, counts }, term) => call("/usage", { windowId: window, counts }, term),
    };
}

/** Names who acts, and which term of the control lease it acts in. */
function dutyHeaders(self: HostId, { token }: HolderTerm): HeaderList {
    return [["sequoiamux-duty-holder", self], ["sequoiamux-fencing-token", String(token)]];
}
