import { HostId, ZoneId } from "../../ids/index.js";
import { Clock, Random } from "../../ports/index.js";
import { RelayDirectory, RelayHost } from "../relayDirectory/index.js";

/** Options of `RelayPicker`. */
export interface RelayPickerOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** The zone of this host. */
    readonly zone: ZoneId;
    readonly directory: Pick<RelayDirectory, "listRelays">;
}

/** Requests under way through a relay that weigh as much as one further hop between zones. */
const ZONE_HOP_WEIGHT = 4;
/** Requests under way that weigh as much as not having reached an upstream lately, and the time that counts as lately, in milliseconds. */
const UNPROVED_WEIGHT = 8;
const PROOF_MS = 2_000;

/**
 * Chooses the host that relays a request: the one with the fewest requests of this host under way, by preference one that has reached an
 * upstream lately, in this host's zone or in the upstream's, since each other zone is one more hop between zones.
 *
 * @example
 * const relay = picker.pick(upstream.zone, new Set());
 */
export class RelayPicker {
    /** Number of requests of this host under way through each relay. */
    private readonly underWay = new Map<HostId, number>();
    /** Monotonic time until which each relay that could not help is left out, in milliseconds. */
    private readonly unfitUntil = new Map<HostId, number>();
    /** Monotonic time at which each relay last reached an upstream, in milliseconds. */
    private readonly provedAt = new Map<HostId, number>();

    constructor(private readonly options: RelayPickerOptions) {}

    /**
     * @param upstreamZone - The upstream's zone; undefined where it is not known.
     * @param excluded - Relays that have already been asked.
     * @returns Undefined where no relay is left.
     */
    pick(upstreamZone: ZoneId | undefined, excluded: ReadonlySet<HostId>): RelayHost | undefined {
        const { directory, random } = this.options;
        const fit = directory.listRelays().filter(({ host }) => !excluded.has(host) && this.isFit(host));
        if (fit.length === 0) return undefined;
        const weights = fit.map(relay => this.weigh(relay, upstreamZone));
        const least = Math.min(...weights);
        return random.pick(fit.filter((_, index) => weights[index] === least));
    }

    /** Picks relays that are unlikely to have lost their paths together with this host, or with each other: of different zones, others first. */
    pickApart(count: number, excluded: ReadonlySet<HostId>): RelayHost[] {
        const { directory, random, zone: own } = this.options;
        const left = directory.listRelays().filter(({ host }) => !excluded.has(host) && this.isFit(host));
        const picked: RelayHost[] = [];
        const weigh = ({ zone }: RelayHost): number =>
            2 * picked.filter(relay => relay.zone === zone).length + (zone === own ? 1 : 0);
        while (picked.length < count && left.length > 0) {
            const least = Math.min(...left.map(weigh));
            const relay = random.pick(left.filter(candidate => weigh(candidate) === least));
            left.splice(left.indexOf(relay), 1);
            picked.push(relay);
        }
        return picked;
    }

    /** Whether any relay may be asked now. */
    hasAny(): boolean {
        return this.options.directory.listRelays().some(({ host }) => this.isFit(host));
    }

    /** Records that a relay has reached an upstream. */
    markProved(host: HostId): void {
        this.provedAt.set(host, this.options.clock.monotonic());
    }

    /** Leaves a relay that could not help out for some time, in milliseconds. */
    markUnfit(host: HostId, ms: number): void {
        this.unfitUntil.set(host, this.options.clock.monotonic() + ms);
        this.provedAt.delete(host);
    }

    /** Counts a request through a relay until the returned function is called. */
    begin(host: HostId): () => void {
        this.underWay.set(host, (this.underWay.get(host) ?? 0) + 1);
        let isEnded = false;
        return () => {
            if (isEnded) return;
            isEnded = true;
            const left = this.underWay.get(host)! - 1;
            if (left > 0) this.underWay.set(host, left);
            else this.underWay.delete(host);
        };
    }

    private isFit(host: HostId): boolean {
        const until = this.unfitUntil.get(host);
        if (until === undefined) return true;
        if (this.options.clock.monotonic() < until) return false;
        this.unfitUntil.delete(host);
        return true;
    }

    private weigh({ host, zone }: RelayHost, upstreamZone: ZoneId | undefined): number {
        const { clock, zone: own } = this.options;
        const isOnTheWay = zone === own || zone === upstreamZone;
        const isProved = clock.monotonic() - (this.provedAt.get(host) ?? Number.NEGATIVE_INFINITY) < PROOF_MS;
        return (this.underWay.get(host) ?? 0) + (isOnTheWay ? 0 : ZONE_HOP_WEIGHT) + (isProved ? 0 : UNPROVED_WEIGHT);
    }
}
