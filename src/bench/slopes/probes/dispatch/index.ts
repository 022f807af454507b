import { LocalDispatcher, Ticket } from "../../../../dispatch/index.js";
import { RequestId, WorkspaceId, ZoneId } from "../../../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../../../ports/index.js";
import { UpstreamRegistry } from "../../../../upstream/index.js";
import { encodeValue } from "../../../../wire/index.js";
import { ROUNDS, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { makeAnnouncement } from "../announcements/index.js";

const UPSTREAM_COUNTS = [13, 25, 50, 100, 200];
const WAITING_COUNTS = [100, 250, 500, 1_000, 2_000];
const TICKET_COUNT = 2_000;
const WORKSPACE_COUNT = 500;
const TIER_COUNT = 7;
const SLOTS_PER_UPSTREAM = 64;

/** Measures a request's way through a pool's queue, by the number of upstreams and of waiting requests. */
export class DispatchProbe extends Probe {
    readonly name = "dispatch";

    async run(recorder: SlopeRecorder): Promise<void> {
        recorder.add("dispatch.ticket.bytes", 1, encodeValue(makeTicket(1)).length);
        for (const count of UPSTREAM_COUNTS) {
            for (let round = 0; round < ROUNDS; round++) await measureGrants(count, recorder);
        }
        for (const count of WAITING_COUNTS) {
            for (let round = 0; round < ROUNDS; round++) await measureWaiting(count, recorder);
        }
    }
}

async function measureGrants(upstreams: number, recorder: SlopeRecorder): Promise<void> {
    const { dispatcher } = makeDispatcher(upstreams);
    const { processorMs } = await timeProcess(async () => {
        for (let index = 0; index < TICKET_COUNT; index++) await processRequest(dispatcher, makeTicket(index));
    });
    recorder.add("dispatch.grant.processor", upstreams, processorMs / TICKET_COUNT * 1_000);
    dispatcher.close();
}

/**
 * Measures the time of one grant with all slots in use: each completion grants a waiting ticket, and a new one replaces it in
 * the queue.
 */
async function measureWaiting(waiting: number, recorder: SlopeRecorder): Promise<void> {
    const { dispatcher, clock } = makeDispatcher(1);
    const granted: Ticket[] = [];
    const submit = (ticket: Ticket): void => {
        void dispatcher.submit(ticket, new AbortController().signal).then(decision =>
            decision.ifRight(() => granted.push(ticket))
        );
    };
    for (let index = 0; index < SLOTS_PER_UPSTREAM + waiting; index++) submit(makeTicket(index));
    await clock.advance(0);
    const initialWaiting = dispatcher.countWaiting(makeTicket(0).pool);
    const { processorMs } = await timeProcess(async () => {
        for (let index = 0; index < TICKET_COUNT; index++) {
            const completed = granted.shift();
            if (!completed) break;
            complete(dispatcher, completed);
            submit(makeTicket(SLOTS_PER_UPSTREAM + waiting + index));
            await clock.advance(0);
        }
    });
    recorder.add("dispatch.waiting.processor", initialWaiting, processorMs / TICKET_COUNT * 1_000);
    dispatcher.close();
    await clock.advance(0);
}

function makeDispatcher(upstreams: number): { dispatcher: LocalDispatcher; clock: VirtualClock; } {
    const clock = new VirtualClock();
    const registry = new UpstreamRegistry({ clock });
    const random = new SeededRandom(1);
    const dispatcher = new LocalDispatcher({ clock, random, registry, zone: "north-2" as ZoneId });
    for (let index = 0; index < upstreams; index++) registry.announce(makeAnnouncement(0, index));
    return { dispatcher, clock };
}

async function processRequest(dispatcher: LocalDispatcher, ticket: Ticket): Promise<void> {
    const decision = await dispatcher.submit(ticket, new AbortController().signal);
    if (decision.isLeft()) throw new Error(`refused: ${JSON.stringify(decision.extract())}`);
    dispatcher.progress(ticket.request, 1);
    complete(dispatcher, ticket);
}

function complete(dispatcher: LocalDispatcher, ticket: Ticket): void {
    dispatcher.complete({
        request: ticket.request,
        upstream: "engine-north-2-0" as never,
        outcome: "answered",
        firstTokenMs: 310,
        tokenMs: 31,
        promptTokens: ticket.promptTokens,
        cachedTokens: 0,
        completionTokens: 253,
    });
}

function makeTicket(index: number): Ticket {
    return {
        request: index.toString(16).padStart(32, "0") as RequestId,
        origin: "north-2-entry-17",
        workspace: `workspace-${index % WORKSPACE_COUNT}` as WorkspaceId,
        className: `class-${index % TIER_COUNT}`,
        tier: index % TIER_COUNT,
        weight: 1,
        pool: "general-70b",
        promptTokens: 800,
        maxTokens: 512,
        firstTokenMs: 600_000,
        tokenMs: 1_000,
        maxWaitMs: 3_600_000,
        guaranteedShare: 0.05,
        ageMs: 2,
        prefixes: ["0011223344556677", "8899aabbccddeeff"],
        resumable: true,
        repeatable: true,
        avoid: [],
        resumeOffset: 0,
    } as unknown as Ticket;
}
