import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { Choice, ChoiceRequest, PoolMembers, PrefixIndex, UpstreamChoice, UpstreamLoad } from "../../upstream/index.js";
import { Ticket } from "../ticket/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** What the pick is made from. */
export interface UpstreamPickerOptions {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly members: PoolMembers;
    readonly prefixes: PrefixIndex;
    readonly random: Random;
    readonly choice: UpstreamChoice;
}

/** Finds the candidates for a ticket and lets the choice policy pick one. */
export class UpstreamPicker {
    constructor(private readonly options: UpstreamPickerOptions) {}

    /**
     * The upstream for a ticket; undefined when none has a free slot.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    pick(waiting: WaitingTicket, now: number): Choice | undefined {
        const candidates = this.narrow(waiting.ticket, this.findFree(waiting.ticket));
        if (candidates.length === 0) return undefined;
        const request = this.describe(waiting, now);
        const chosen = this.options.choice.choose(candidates, request);
        this.options.choice.granted(chosen, request);
        return chosen;
    }

    /** What the choice needs to know of a ticket. */
    describe({ ticket, predictedTokens }: WaitingTicket, now: number): ChoiceRequest {
        const { pool, zone, members } = this.options;
        const { request, prefixes, promptTokens, gapMs, parts = [], bodyBytes = 0 } = ticket;
        const targetMs = ticket.firstTokenMs;
        const eventTokens = gapMs === undefined ? 1 : Math.max(1, gapMs / ticket.tokenMs);
        const findSource = ticket.canFetch ? (id: UpstreamId) => members.get(id) : undefined;
        const sender = ticket.zone ?? zone;
        const size = { promptTokens, predictedTokens, bodyBytes };
        return { request, pool, prefixes, parts, findSource, gapMs, eventTokens, targetMs, now, zone: sender, ...size };
    }

    /** A pool with too many for the choice is sampled, and those that hold the prompt's prefixes are added. */
    private findFree(ticket: Ticket): readonly UpstreamLoad[] {
        const { members, prefixes, random, choice } = this.options;
        const sample = members.candidates(choice.mostCandidates, random);
        const holders = prefixes.likelyHolders(ticket.prefixes);
        if (holders.length === 0) return sample;
        const found = new Set(sample);
        for (const id of holders) {
            const load = members.get(id);
            if (load && members.isFree(load)) found.add(load);
        }
        return [...found];
    }

    private narrow(ticket: Ticket, free: readonly UpstreamLoad[]): readonly UpstreamLoad[] {
        const { avoid } = ticket;
        const untried = avoid.length === 0 ? free : preferring(free, load => !avoid.includes(load.upstream.id));
        // A probe of a straggler will probably be slow: the top tier takes it only when there is nothing else.
        return ticket.tier === 0 ? preferring(untried, load => !load.ejected) : untried;
    }
}

/** Those that are as wished, or all when none is. */
function preferring(
    loads: readonly UpstreamLoad[],
    isWished: (load: UpstreamLoad) => boolean,
): readonly UpstreamLoad[] {
    const wished = loads.filter(isWished);
    return wished.length > 0 ? wished : loads;
}
