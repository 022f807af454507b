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

/** Entry host with its own upstream registry and dispatcher. */
export interface Entry {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly registry: UpstreamRegistry;
    readonly dispatcher: LocalDispatcher;
    /** Monotonic time of the crash, in milliseconds. */
    crashedAt?: number;
}

interface RunningGrant {
    readonly entry: Entry;
    readonly ticket: Ticket;
    readonly grant: Grant;
    readonly grantedAt: number;
}

const REGION = "region-1";
const ANNOUNCE_INTERVAL_MS = 500;
/** Time from the crash of an entry until the other entries detect it. */
const LOSS_DETECTION_MS = 500;

/**
 * Entries of a deployment with their real dispatchers. In place of the network, over which the remote dispatcher reaches
 * a pool's owner, calls between entries sleep for the latency.
 */
export class Fleet {
    readonly entries: readonly Entry[];
    private readonly runningGrants = new Map<RequestId, RunningGrant>();
    private readonly owners = new Map<PoolId, Entry>();
    private readonly preemptListeners = new Map<RequestId, () => void>();

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

    /** Picks a random live entry for a caller, as the load balancer does. */
    pickEntry(): Entry {
        return this.options.random.pick(this.entries.filter(entry => entry.crashedAt === undefined));
    }

    /** Makes an engine announce itself periodically to a random entry, which forwards the announcement to the others. */
    startAnnouncements(engine: EngineFake): void {
        if (!engine.isAlive) return;
        const announcement = engine.announce();
        const receiver = this.pickEntry();
        receiver.registry.announce(announcement);
        this.options.clock.after(this.options.deployment.zoneLatencyMs, () => {
            const ageMs = this.options.deployment.zoneLatencyMs;
            for (const entry of this.entries) entry.registry.merge([{ announcement, ageMs }]);
        });
        this.options.clock.after(ANNOUNCE_INTERVAL_MS, () => this.startAnnouncements(engine));
    }

    /** Returns the one-way latency between two zones, in milliseconds. */
    latency(from: string, to: string): number {
        return from === to ? this.options.deployment.zoneLatencyMs / 4 : this.options.deployment.zoneLatencyMs;
    }

    /**
     * Requests a grant from the pool's owner, and from the next owner when that one crashes.
     *
     * @param onPreemption - Called when the granted request is preempted.
     * @returns Undefined when the requesting entry has crashed.
     */
    async dispatch(
        entry: Entry,
        ticket: Ticket,
        onPreemption: () => void,
    ): Promise<Either<Refusal, Grant> | undefined> {
        const { clock } = this.options;
        const sentAt = clock.monotonic();
        for (;;) {
            const owner = this.ownerOf(entry, ticket.pool);
            const latencyMs = owner === entry ? 0 : this.latency(entry.zone, owner.zone);
            await clock.sleep(latencyMs);
            const ageMs = ticket.ageMs + clock.monotonic() - sentAt;
            const decision = await this.submitTo(owner, { ...ticket, ageMs }, onPreemption);
            if (entry.crashedAt !== undefined) return undefined;
            await clock.sleep(latencyMs);
            if (decision) {
                const grantedAt = clock.monotonic();
                decision.ifRight(grant => this.runningGrants.set(ticket.request, { entry, ticket, grant, grantedAt }));
                return decision;
            }
            await clock.sleep(Math.max(0, owner.crashedAt! + LOSS_DETECTION_MS - clock.monotonic()));
        }
    }

    /** Reports the outcome of a granted request to the owner. */
    complete(entry: Entry, pool: PoolId, completion: Completion): void {
        this.runningGrants.delete(completion.request);
        this.preemptListeners.delete(completion.request);
        const owner = this.ownerOf(entry, pool);
        const latencyMs = owner === entry ? 0 : this.latency(entry.zone, owner.zone);
        this.options.clock.after(latencyMs, () => owner.dispatcher.complete(completion));
    }

    /** Reports to the owner that a running request has received tokens. */
    progress(entry: Entry, pool: PoolId, request: RequestId, tokens: number): void {
        this.ownerOf(entry, pool).dispatcher.progress(request, tokens);
    }

    /**
     * Crashes the owner of a pool's queue. After `LOSS_DETECTION_MS` the new owner adopts the running requests that it had
     * granted.
     */
    crashOwner(pool: PoolId): Entry {
        const { clock } = this.options;
        const lost = this.ownerOf(this.entries[0], pool);
        lost.crashedAt = clock.monotonic();
        lost.dispatcher.close();
        clock.after(LOSS_DETECTION_MS, () => {
            for (const { entry, ticket, grant, grantedAt } of this.runningGrants.values()) {
                const runningMs = clock.monotonic() - grantedAt;
                this.ownerOf(entry, ticket.pool).dispatcher.adopt(ticket, grant, runningMs);
            }
        });
        return lost;
    }

    /** Closes all dispatchers, which stops their timers. */
    close(): void {
        for (const entry of this.entries) entry.dispatcher.close();
    }

    private async submitTo(
        owner: Entry,
        ticket: Ticket,
        onPreemption: () => void,
    ): Promise<Either<Refusal, Grant> | undefined> {
        if (owner.crashedAt !== undefined) return undefined;
        this.preemptListeners.set(ticket.request, onPreemption);
        const decision = await owner.dispatcher.submit(ticket, new AbortController().signal);
        const wasLost = owner.crashedAt !== undefined;
        return wasLost ? undefined : decision;
    }

    private ownerOf(entry: Entry, pool: PoolId): Entry {
        if (this.options.policySet.queues === "local") return entry;
        const currentOwner = this.owners.get(pool);
        if (currentOwner && !this.isDetectedLost(currentOwner)) return currentOwner;
        const presumedAlive = this.entries.filter(other => !this.isDetectedLost(other));
        const host = rankPoolOwners(pool, REGION, presumedAlive.map(other => other.host))[0];
        const owner = this.entries.find(other => other.host === host)!;
        this.owners.set(pool, owner);
        return owner;
    }

    private isDetectedLost(entry: Entry): boolean {
        return entry.crashedAt !== undefined && this.options.clock.monotonic() >= entry.crashedAt + LOSS_DETECTION_MS;
    }

    private makeEntry(index: number): Entry {
        const { clock, random, deployment, policySet, observer } = this.options;
        const registry = new UpstreamRegistry({ clock });
        const zone = deployment.zones[index % deployment.zones.length] as ZoneId;
        const policies = policySet.dispatch;
        const dispatcher = new LocalDispatcher({ clock, random, registry, zone, policies, observer });
        dispatcher.onPreempt(request => this.preemptListeners.get(request)?.());
        return { host: `entry-${index + 1}` as HostId, zone, registry, dispatcher };
    }
}
