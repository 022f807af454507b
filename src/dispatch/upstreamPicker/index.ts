import { PoolId, SoftwareVersion, UpstreamId, ZoneId } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import {
    Choice,
    PoolMembers,
    PrefixIndex,
    SelectionPolicy,
    SelectionRequest,
    UpstreamLoad,
} from "../../upstream/index.js";
import { HostBackOffs } from "../hostBackOffs/index.js";
import { Ticket } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Options of `UpstreamPicker`. */
export interface UpstreamPickerOptions {
    readonly pool: PoolId;
    /** The zone of requests whose ticket names none. */
    readonly zone: ZoneId;
    readonly members: PoolMembers;
    readonly prefixes: PrefixIndex;
    readonly random: Random;
    readonly choice: SelectionPolicy;
    /** The back-offs that upstreams asked single hosts for. */
    readonly backOffs: HostBackOffs;
}

/** Finds the candidates for a ticket and lets the selection policy choose one. */
export class UpstreamPicker {
    constructor(private readonly options: UpstreamPickerOptions) {}

    /**
     * Returns the upstream for a ticket; undefined when none that may run it has a free slot.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    pick(waiting: WaitingTicket, now: number): Choice | undefined {
        const found = this.excludeUnsuitable(waiting.ticket, this.findCandidates(waiting.ticket, now));
        const suitable = this.preferContinuable(waiting.ticket, this.preferNotShedding(found, now));
        if (suitable.length === 0) return undefined;
        const request = this.toChoiceRequest(waiting, now);
        const candidates = this.options.choice.reserve(suitable, request, this.options.members.all);
        if (candidates.length === 0) return undefined;
        const chosen = this.options.choice.choose(candidates, request);
        this.options.choice.granted(chosen, request);
        return chosen;
    }

    /**
     * Whether any upstream with a free slot may run a request.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    hasFreeFor(ticket: Ticket, now: number): boolean {
        return this.options.members.hasFree(load => this.isEligible(ticket, load, now));
    }

    /** Whether any upstream that may get work, busy or not, runs the software that a request needs. */
    hasSoftwareFor({ software }: Ticket): boolean {
        const { all } = this.options.members;
        return software === undefined
            || all.some(({ upstream }) => upstream.isGrantable && upstream.software === software);
    }

    /**
     * Returns the time until the first upstream accepts a request from its host again, in milliseconds; 0 if one does now.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    backOffLeftMs({ origin: host, software }: Ticket, now: number): number {
        const { members, backOffs } = this.options;
        const fitting = members.all.filter(load => announcesSoftware(load, software));
        if (!fitting.some(load => load.isReady(now))) return 0;
        const usable = fitting.filter(load => load.isReady(now) || isResting(load, now));
        return Math.min(...usable.map(load => {
            const restMs = load.isReady(now) ? 0 : load.backOffLeftMs(now);
            return Math.max(restMs, backOffs.leftMs(host, load.upstream.id, now));
        }));
    }

    /**
     * Describes the effect of back-offs on a decision made now, for `sequoiamux explain`; empty if there is none.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    describeBackOffs({ origin }: Ticket, now: number): string {
        const count = this.options.backOffs.count(origin, now);
        return count === 0 ? "" : `, upstreams that asked this host to back off: ${count}`;
    }

    /**
     * Converts a ticket to the request that the selection policy evaluates.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    toChoiceRequest({ ticket, predictedTokens, arrivedAt }: WaitingTicket, now: number): SelectionRequest {
        const { pool, zone, members } = this.options;
        const { request, tier, prefixes, promptTokens, gapMs, parts = [], bodyBytes = 0 } = ticket;
        const targetMs = ticket.firstTokenMs;
        const eventTokens = gapMs === undefined ? 1 : Math.max(1, gapMs / ticket.tokenMs);
        const findSource = ticket.canFetch ? (id: UpstreamId) => members.get(id) : undefined;
        const senderZone = ticket.zone ?? zone;
        const size = { promptTokens, predictedTokens, bodyBytes };
        return {
            request,
            pool,
            tier,
            prefixes,
            parts,
            findSource,
            gapMs,
            eventTokens,
            targetMs,
            now,
            ageMs: now - arrivedAt,
            zone: senderZone,
            ...size,
        };
    }

    /**
     * Returns free upstreams. A pool with more upstreams than the selection policy accepts is sampled, and the upstreams that
     * probably cache the prompt's prefixes are added.
     */
    private findCandidates(ticket: Ticket, now: number): readonly UpstreamLoad[] {
        const { members, prefixes, random, choice, backOffs } = this.options;
        const isEligible = (load: UpstreamLoad): boolean => this.isEligible(ticket, load, now);
        const isRestricted = ticket.software !== undefined || backOffs.hasAny(ticket.origin);
        const sample = members.candidates(
            choice.maxCandidates,
            random,
            isRestricted ? isEligible : undefined,
        );
        const holders = prefixes.likelyHolders(ticket.prefixes);
        if (holders.length === 0) return sample;
        const candidates = new Set(sample);
        for (const id of holders) {
            const load = members.get(id);
            if (load && members.isFree(load) && isEligible(load)) candidates.add(load);
        }
        return [...candidates];
    }

    /**
     * Prefers upstreams that have asked no host to back off while these are at least half of the candidates. Of one that
     * has, the other hosts are likely to be turned away too; but few others would be overloaded by all requests.
     */
    private preferNotShedding(loads: readonly UpstreamLoad[], now: number): readonly UpstreamLoad[] {
        const { backOffs } = this.options;
        if (!backOffs.hasShedding) return loads;
        return preferMost(loads, ({ upstream }) => !backOffs.isShedding(upstream.id, now));
    }

    /**
     * Prefers upstreams for a new stream after whose failure another one could continue it, while these are at least half of the candidates:
     * upstreams whose software is certain, and not the only ones that run it.
     */
    private preferContinuable(
        { gapMs, resumable, software }: Ticket,
        loads: readonly UpstreamLoad[],
    ): readonly UpstreamLoad[] {
        const isNewStream = software === undefined && (gapMs !== undefined || resumable);
        if (!isNewStream) return loads;
        const { members } = this.options;
        const certain = preferMost(loads, load => members.findSoftware(load) !== undefined);
        return preferMost(certain, load => !members.isLastOfSoftware(load));
    }

    private isEligible({ origin, software }: Ticket, load: UpstreamLoad, now: number): boolean {
        const { members, backOffs } = this.options;
        const isFitting = software === undefined || members.findSoftware(load) === software;
        return isFitting && backOffs.mayGrant(origin, load.upstream.id, now);
    }

    private excludeUnsuitable(ticket: Ticket, candidates: readonly UpstreamLoad[]): readonly UpstreamLoad[] {
        const { avoid } = ticket;
        const untried = avoid.length === 0
            ? candidates
            : preferMatching(candidates, load => !avoid.includes(load.upstream.id));
        // A request that probes a straggler is probably slow: the top tier uses one only when nothing else is free.
        return ticket.tier === 0 ? preferMatching(untried, load => !load.ejected) : untried;
    }
}

/** Whether an upstream has announced a version of the software; any will do if none is given. */
function announcesSoftware({ upstream }: UpstreamLoad, software: SoftwareVersion | undefined): boolean {
    return software === undefined || upstream.software === software;
}

/** Whether an upstream may get work as soon as its back-off after failures has ended. */
function isResting(load: UpstreamLoad, now: number): boolean {
    return load.upstream.isGrantable && !load.ejected && load.isBackingOff(now);
}

/** Returns the matching upstreams, or all when fewer than half match: these would be overloaded by all requests. */
function preferMost(
    loads: readonly UpstreamLoad[],
    matches: (load: UpstreamLoad) => boolean,
): readonly UpstreamLoad[] {
    const matching = loads.filter(matches);
    return 2 * matching.length >= loads.length ? matching : loads;
}

/** Returns the matching upstreams, or all when none matches. */
function preferMatching(
    loads: readonly UpstreamLoad[],
    matches: (load: UpstreamLoad) => boolean,
): readonly UpstreamLoad[] {
    const matching = loads.filter(matches);
    return matching.length > 0 ? matching : loads;
}
