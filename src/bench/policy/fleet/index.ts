import { Either } from "purify-ts";
import {
    Completion,
    DispatchObserver,
    Grant,
    LocalDispatcher,
    rankPoolOwners,
    Refusal,
    Ticket,
} from "../../../dispatch/index.js";
import { HostId, PoolId, RequestId, ZoneId } from "../../../ids/index.js";
import { Clock, Random } from "../../../ports/index.js";
import { UpstreamRegistry } from "../../../upstream/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { PolicySet } from "../policySet/index.js";

/** One entry host of the fleet. */
export interface Entry {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly registry: UpstreamRegistry;
    readonly dispatcher: LocalDispatcher;
    /** Monotonic time of its crash, in milliseconds. */
    crashedAt?: number;
}

interface RunningGrant {
    readonly entry: Entry;
    readonly ticket: Ticket;
    readonly grant: Grant;
    readonly grantedAt: number;
}

const REGION = "region-1";
const ANNOUNCE_EVERY_MS = 500;
/** From the crash of an entry until the others know, in milliseconds. */
const DETECTION_MS = 500;

/**
 * The entries of a deployment with their real dispatchers, joined by latencies instead of a network: what the lead's
 * remote form does over the wire is done here by waiting.
 */
export class Fleet {
    readonly entries: readonly Entry[];
    private readonly running = new Map<RequestId, RunningGrant>();
    private readonly owners = new Map<PoolId, Entry>();
    private readonly preempts = new Map<RequestId, () => void>();

    constructor(
        private readonly options: {
            readonly clock: Clock;
            readonly random: Random;
            readonly deployment: Deployment;
            readonly policySet: PolicySet;
            readonly observer: DispatchObserver;
        },
    ) {
        this.entries = Array.from({ length: options.deployment.entries }, (_, index) => this.makeEntry(index));
    }

    /** The entry that the balancer gives a caller. */
    pickEntry(): Entry {
        return this.options.random.pick(this.entries.filter(entry => entry.crashedAt === undefined));
    }

    /** Lets an engine announce itself to any entry, which tells the others. */
    follow(engine: EngineFake): void {
        if (!engine.isAlive) return;
        const announcement = engine.announce();
        const first = this.pickEntry();
        first.registry.announce(announcement);
        this.options.clock.after(this.options.deployment.zoneLatencyMs, () => {
            const ageMs = this.options.deployment.zoneLatencyMs;
            for (const entry of this.entries) entry.registry.merge([{ announcement, ageMs }]);
        });
        this.options.clock.after(ANNOUNCE_EVERY_MS, () => this.follow(engine));
    }

    /** One-way latency between two zones, in milliseconds. */
    latency(from: string, to: string): number {
        return from === to ? this.options.deployment.zoneLatencyMs / 4 : this.options.deployment.zoneLatencyMs;
    }

    /**
     * Asks the pool's owner for a grant, and the next owner when that one is lost.
     *
     * @param preempt - Called when the granted request must give its place.
     */
    async dispatch(entry: Entry, ticket: Ticket, preempt: () => void): Promise<Either<Refusal, Grant> | undefined> {
        const { clock } = this.options;
        const sentAt = clock.monotonic();
        for (;;) {
            const owner = this.ownerOf(entry, ticket.pool);
            const hopMs = owner === entry ? 0 : this.latency(entry.zone, owner.zone);
            await clock.sleep(hopMs);
            const ageMs = ticket.ageMs + clock.monotonic() - sentAt;
            const decision = await this.submitTo(owner, { ...ticket, ageMs }, preempt);
            if (entry.crashedAt !== undefined) return undefined;
            await clock.sleep(hopMs);
            if (decision) {
                const grantedAt = clock.monotonic();
                decision.ifRight(grant => this.running.set(ticket.request, { entry, ticket, grant, grantedAt }));
                return decision;
            }
            await clock.sleep(Math.max(0, owner.crashedAt! + DETECTION_MS - clock.monotonic()));
        }
    }

    /** Tells the owner what became of a grant. */
    complete(entry: Entry, pool: PoolId, completion: Completion): void {
        this.running.delete(completion.request);
        this.preempts.delete(completion.request);
        const owner = this.ownerOf(entry, pool);
        const hopMs = owner === entry ? 0 : this.latency(entry.zone, owner.zone);
        this.options.clock.after(hopMs, () => owner.dispatcher.complete(completion));
    }

    /** Tells the owner that a running request got tokens. */
    progress(entry: Entry, pool: PoolId, request: RequestId, tokens: number): void {
        this.ownerOf(entry, pool).dispatcher.progress(request, tokens);
    }

    /** Loses the owner of a pool's queue; the rest know of it a little later and adopt what it had granted. */
    crashOwner(pool: PoolId): Entry {
        const { clock } = this.options;
        const lost = this.ownerOf(this.entries[0], pool);
        lost.crashedAt = clock.monotonic();
        lost.dispatcher.close();
        clock.after(DETECTION_MS, () => {
            for (const { entry, ticket, grant, grantedAt } of this.running.values()) {
                const runningMs = clock.monotonic() - grantedAt;
                this.ownerOf(entry, ticket.pool).dispatcher.adopt(ticket, grant, runningMs);
            }
        });
        return lost;
    }

    /** Stops all timers at the end of a scenario. */
    close(): void {
        for (const entry of this.entries) entry.dispatcher.close();
    }

    private async submitTo(
        owner: Entry,
        ticket: Ticket,
        preempt: () => void,
    ): Promise<Either<Refusal, Grant> | undefined> {
        if (owner.crashedAt !== undefined) return undefined;
        this.preempts.set(ticket.request, preempt);
        const decision = await owner.dispatcher.submit(ticket, new AbortController().signal);
        const wasLost = owner.crashedAt !== undefined;
        return wasLost ? undefined : decision;
    }

    private ownerOf(entry: Entry, pool: PoolId): Entry {
        if (this.options.policySet.queues === "local") return entry;
        const known = this.owners.get(pool);
        if (known && !this.isKnownLost(known)) return known;
        const believedAlive = this.entries.filter(other => !this.isKnownLost(other));
        const host = rankPoolOwners(pool, REGION, believedAlive.map(other => other.host))[0];
        const owner = this.entries.find(other => other.host === host)!;
        this.owners.set(pool, owner);
        return owner;
    }

    private isKnownLost(entry: Entry): boolean {
        return entry.crashedAt !== undefined && this.options.clock.monotonic() >= entry.crashedAt + DETECTION_MS;
    }

    private makeEntry(index: number): Entry {
        const { clock, random, deployment, policySet, observer } = this.options;
        const registry = new UpstreamRegistry({ clock });
        const zone = deployment.zones[index % deployment.zones.length] as ZoneId;
        const policies = policySet.dispatch;
        const dispatcher = new LocalDispatcher({ clock, random, registry, zone, policies, observer });
        dispatcher.onPreempt(request => this.preempts.get(request)?.());
        return { host: `entry-${index + 1}` as HostId, zone, registry, dispatcher };
    }
}
