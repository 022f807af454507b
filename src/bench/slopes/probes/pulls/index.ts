import {
    ControlService,
    MemoryLogGroup,
    VIEW_PULL_METHOD,
    ViewPull,
    ViewPullReply,
} from "../../../../control/index.js";
import { HostId } from "../../../../ids/index.js";
import { VirtualClock } from "../../../../ports/index.js";
import { decodeValue, encodeFrame, encodeValue, PeerChannel, PeerHandler, PeerRouter } from "../../../../wire/index.js";
import { ROUNDS, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { SampleState } from "../_lib/sampleState.js";

const ENTRY_COUNTS = [50, 100, 200, 300, 410];
const WORKSPACE_COUNT = 1_000;
const CHANGE_COUNT = 20;
const IDLE_MS = 20_000;
const SETTLE_MS = 20;
const PULL_WAIT_MS = 2_000;
const VIEW_LEASE_MS = 3_000;
const CHANGE_RATES = [1, 2, 5, 10];
const RATE_ENTRY_COUNT = 200;
const RATE_RUN_MS = 5_000;

/**
 * Measures the holder's work for the view pulls of entries, by the number of entries: pulls without a change, and a change
 * sent to every entry. Requests and replies are encoded and decoded; the wire probe measures the cost of the sockets.
 */
export class PullProbe extends Probe {
    readonly name = "pulls";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const count of ENTRY_COUNTS) await this.measureEntries(count, recorder);
        const fleet = await startFleet(RATE_ENTRY_COUNT);
        for (const rate of CHANGE_RATES) {
            for (let round = 0; round < ROUNDS; round++) {
                const { processorMs } = await timeProcess(() => applyAtRate(fleet, rate));
                recorder.add("pulls.rate.processor", rate, processorMs / RATE_RUN_MS * 1_000);
            }
        }
        await fleet.close();
    }

    private async measureEntries(count: number, recorder: SlopeRecorder): Promise<void> {
        const { clock, sample, entries, close } = await startFleet(count);
        for (let round = 0; round < ROUNDS; round++) {
            const idle = await timeProcess(() => clock.advance(IDLE_MS));
            recorder.add("pulls.idle.processor", count, idle.processorMs / IDLE_MS * 1_000);
            const busy = await timeProcess(() => applyChanges(sample, clock));
            recorder.add("pulls.change.processor", count, busy.processorMs / CHANGE_COUNT);
        }
        recorder.add("pulls.idle.bytes", count, entries[0].idleBytes);
        recorder.add("pulls.list.bytes", count, entries[0].listBytes);
        await close();
    }
}

interface PullingFleet {
    readonly clock: VirtualClock;
    readonly sample: SampleState;
    readonly entries: readonly PullingEntry[];
    readonly close: () => Promise<void>;
}

async function startFleet(count: number): Promise<PullingFleet> {
    const clock = new VirtualClock();
    const sample = new SampleState();
    sample.growTo(WORKSPACE_COUNT);
    const group = new MemoryLogGroup(clock);
    const log = group.join("holder" as HostId, sample.state);
    group.elect("holder" as HostId);
    const router = new PeerRouter();
    const service = new ControlService({ log, state: sample.state, clock, router, viewLeaseMs: VIEW_LEASE_MS });
    const entries = Array.from({ length: count }, (_, index) => new PullingEntry(index, router));
    for (const entry of entries) void entry.run();
    await clock.advance(PULL_WAIT_MS);
    const close = async (): Promise<void> => {
        for (const entry of entries) entry.stop();
        service.close();
        await clock.advance(PULL_WAIT_MS);
    };
    return { clock, sample, entries, close };
}

async function applyAtRate({ sample, clock }: PullingFleet, rate: number): Promise<void> {
    for (let change = 0; change < rate * RATE_RUN_MS / 1_000; change++) {
        sample.changeLimit(change);
        await clock.advance(1_000 / rate);
    }
}

async function applyChanges(sample: SampleState, clock: VirtualClock): Promise<void> {
    for (let change = 0; change < CHANGE_COUNT; change++) {
        sample.changeLimit(change);
        await clock.advance(SETTLE_MS);
    }
}

class PullingEntry {
    /** Size of the last request and reply without a change, in bytes. */
    idleBytes = 0;
    /** Size of the last reply that listed all entries, in bytes. */
    listBytes = 0;
    private readonly handler: PeerHandler;
    private pull: ViewPull;
    private stopped = false;

    constructor(index: number, router: PeerRouter) {
        this.handler = router.find(VIEW_PULL_METHOD)!;
        this.pull = {
            host: `north-2-entry-${index}`,
            incarnation: index.toString(16).padStart(32, "0"),
            zone: `north-${index % 14}`,
            peerAddress: `10.32.${index % 250}.17:7000`,
            revision: 0,
            waitMs: PULL_WAIT_MS,
            draining: false,
            takesPacked: true,
        };
    }

    stop(): void {
        this.stopped = true;
    }

    async run(): Promise<void> {
        while (!this.stopped) await this.pullOnce();
    }

    private async pullOnce(): Promise<void> {
        const requestFrame = encodeFrame([2, 1, VIEW_PULL_METHOD, this.pull]);
        const reply = await this.handler(decodeValue(encodeValue(this.pull)), undefined as unknown as PeerChannel);
        const replyFrame = encodeFrame([3, 1, "", reply]);
        const { change, entriesVersion, entriesUnchanged } = decodeValue(encodeValue(reply)) as ViewPullReply;
        if (!entriesUnchanged) this.listBytes = replyFrame.length;
        if (!change && entriesUnchanged) this.idleBytes = requestFrame.length + replyFrame.length;
        this.pull = { ...this.pull, revision: change?.revision ?? this.pull.revision, entriesVersion };
    }
}
