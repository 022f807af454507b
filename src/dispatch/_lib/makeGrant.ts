import { SoftwareVersion } from "../../ids/index.js";
import { AdvertisedLimit, Choice } from "../../upstream/index.js";
import { Grant } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/**
 * Creates the grant that sends a ticket to the chosen upstream now.
 *
 * @param software - Version of the software that the upstream certainly runs.
 */
export function makeGrant(
    { ticket, arrivedAt }: WaitingTicket,
    { load, reason, fetch }: Choice,
    now: number,
    software: SoftwareVersion | undefined,
): Grant {
    const { limit, rejectionLimit } = load;
    return {
        request: ticket.request,
        upstream: load.upstream.id,
        incarnation: load.upstream.announcement.incarnation,
        ...(software === undefined ? {} : { software }),
        address: load.upstream.address,
        priority: ticket.tier,
        waitedMs: now - arrivedAt,
        reason: limit ? `${reason}, limited to ${limit.perSecond} a second` : reason,
        ...(limit ? { limit: toAged(limit, now) } : {}),
        ...(rejectionLimit ? { rejectionLimit: toAged(rejectionLimit, now) } : {}),
        ...(fetch ? { fetchFrom: fetch.from.upstream.address } : {}),
    };
}

function toAged({ perSecond, answeredAt }: AdvertisedLimit, now: number): { perSecond: number; ageMs: number; } {
    return { perSecond, ageMs: now - answeredAt };
}
