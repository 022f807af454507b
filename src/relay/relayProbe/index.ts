import { HostId } from "../../ids/index.js";
import { Clock, Http } from "../../ports/index.js";
import { UpstreamTarget } from "../../upstream/index.js";
import { makeRelayProbe } from "../relayCall/index.js";
import { RelayHost } from "../relayDirectory/index.js";
import { RelayFinding } from "../relayMessage/index.js";
import { RelayPicker } from "../relayPicker/index.js";
import { readRelayFinding } from "../relayReply/index.js";

/** Number of relays that are asked at the same time, at most in all, and time after which the next ones are asked, in milliseconds. */
const RELAYS_AT_ONCE = 3;
const MAX_RELAYS = 9;
const NEXT_RELAYS_MS = 40;
/** Time for which a relay is left out that has lost its own path, in milliseconds. */
const CUT_OFF_MS = 2_000;
/** What relays may find out, the most telling first. */
const FINDINGS_BY_WEIGHT: readonly RelayFinding[] = ["reached", "refused", "unreachable"];

/** Options of `RelayProbe`. */
export interface RelayProbeOptions {
    readonly clock: Clock;
    readonly http: Http;
    readonly self: HostId;
    readonly picker: RelayPicker;
}

/**
 * Asks other hosts whether they reach an upstream, some at a time: those that do answer within milliseconds, and those that have lost their
 * own paths take long.
 *
 * @example
 * const finding = await probe.ask(target);
 */
export class RelayProbe {
    constructor(private readonly options: RelayProbeOptions) {}

    /** Returns the most telling finding; "unknown" where no host can tell. */
    async ask(target: UpstreamTarget): Promise<RelayFinding> {
        const { clock, picker } = this.options;
        const asked = new Set<HostId>();
        const asking: Promise<void>[] = [];
        const findings: RelayFinding[] = [];
        const reached = new AbortController();
        const isReached = new Promise<void>(resolve => reached.signal.addEventListener("abort", () => resolve()));
        const record = (finding: RelayFinding): void => {
            findings.push(finding);
            if (finding === "reached") reached.abort();
        };
        while (asked.size < MAX_RELAYS && !reached.signal.aborted && !isUnanimous(findings)) {
            const relays = picker.pickApart(RELAYS_AT_ONCE, asked);
            if (relays.length === 0) break;
            for (const relay of relays) {
                asked.add(relay.host);
                asking.push(this.askOne(relay, target, reached.signal).then(record));
            }
            await Promise.race([Promise.all(asking), clock.sleep(NEXT_RELAYS_MS, reached.signal)]);
        }
        await Promise.race([Promise.all(asking), isReached]);
        return FINDINGS_BY_WEIGHT.find(finding => findings.includes(finding)) ?? "unknown";
    }

    /** @param reached - Aborted once another relay has reached the upstream. */
    private async askOne(relay: RelayHost, target: UpstreamTarget, reached: AbortSignal): Promise<RelayFinding> {
        const { http, self, picker } = this.options;
        const sent = await http.send(makeRelayProbe(relay, self, target));
        const finding = sent.isLeft() ? "unknown" : await readRelayFinding(sent.unsafeCoerce());
        if (finding === "reached") picker.markProved(relay.host);
        // A relay that does not reach what another one does has lost its path, too.
        else if (finding === "unknown" || reached.aborted) picker.markUnfit(relay.host, CUT_OFF_MS);
        return finding;
    }
}

/** Whether some relays have answered, and all found that nobody listens at the upstream's address. */
function isUnanimous(findings: readonly RelayFinding[]): boolean {
    return findings.length > 0 && findings.every(finding => finding === "refused");
}
