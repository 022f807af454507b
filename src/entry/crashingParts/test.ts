import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader, SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const CRASHING = "crashing";
const ALSO_CRASHING = "also-crashing";
const ENTRIES = 7;
const UPSTREAMS = 8;
const FIRST_PARTS = 8;
const SECOND_PARTS = 60;
const SOUND_PER_S = 16;
const GUILTY_PER_S = 1.5;
const UPSTREAM = {
    slots: 64,
    workMs: 120,
    events: 20,
    gapMs: 30,
    crashesOnParts: [CRASHING, ALSO_CRASHING],
    restartMs: 3_000,
};
const ROUTE = { kind: "stream", attempts: 1, timeoutMs: 8_000, targetMs: 600, gapMs: 500 };
/** Time after a crash in which hosts that are connected learn of it, in milliseconds. */
const CONTACT_MS = 3_000;
/** After this many crashes, at most `MAX_LATE_SENDS` requests with the part may be sent later than `CONTACT_MS`. */
const MAX_CRASHES = 5;
const MAX_LATE_SENDS = 3;
/** Number of crashes after which a part should reach no upstream, but for requests that are already on their way. */
const CRASHES_TO_QUARANTINE = 3;
/** Share of the sound requests that must begin, against the time before. */
const MIN_SOUND_SHARE = 0.9;

/** A call that a test sent. */
interface SentCall {
    readonly isGuilty: boolean;
    readonly first: string;
    /** Monotonic time, in milliseconds. */
    readonly at: number;
    readonly reply: Promise<TestReply>;
}

/** Sends sound questions and guilty ones, which share first parts, through all entries. */
class PartLoad {
    readonly sent: SentCall[] = [];

    constructor(private readonly fleet: RoutedFleet, private readonly random = new SeededRandom(7)) {}

    /** @param makeGuilty - Returns the parts of a guilty prompt, but for its own. */
    async sendFor(ms: number, makeGuilty?: () => readonly string[]): Promise<void> {
        const { fleet, random } = this;
        const endsAt = fleet.clock.monotonic() + ms;
        while (fleet.clock.monotonic() < endsAt) {
            const isGuilty = makeGuilty !== undefined && random.next() < GUILTY_PER_S / (SOUND_PER_S + GUILTY_PER_S);
            const second = random.integer(0, SECOND_PARTS);
            const sound = [`first-${second % FIRST_PARTS}`, `second-${second}`];
            this.send(isGuilty ? makeGuilty() : sound, isGuilty);
            await fleet.advance(random.between(0, 2_000 / (SOUND_PER_S + GUILTY_PER_S)));
        }
    }

    send(shared: readonly string[], isGuilty = false, entry?: number): SentCall {
        const { fleet, random, sent } = this;
        const live = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
        const parts = [...shared, `own-${sent.length}`].map(id => `${id}:100`).join(",");
        const reply = fleet.startCall({
            entry: entry ?? random.pick(live),
            path: `/orders/${sent.length}`,
            key: KEY,
            body: `question ${sent.length}`,
            headers: [[CALL_HEADERS.parts, parts], [CALL_HEADERS.tokens, "300,100"]],
        });
        const call = { isGuilty, first: shared[0], at: fleet.clock.monotonic(), reply };
        sent.push(call);
        return call;
    }

    /** Returns the share of sound calls that began, of those sent within a time and with a first part, if one is given. */
    async findSoundShare(from: number, to: number, first?: string): Promise<number> {
        const calls = this.sent.filter(call => !call.isGuilty && call.at >= from && call.at < to)
            .filter(call => first === undefined || call.first === first);
        assert.ok(calls.length >= 20, `only ${calls.length} calls`);
        const replies = await this.fleet.run(Promise.all(calls.map(({ reply }) => reply)));
        return replies.filter(({ status }) => status === 200).length / calls.length;
    }
}

describe("a part of a prompt that crashes every upstream that answers on it", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(layout: Partial<RoutedFleetOptions> = {}): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: UPSTREAMS }, () => UPSTREAM);
        const started = new RoutedFleet({ entries: ENTRIES, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute(ROUTE)] }));
        return started;
    }

    function listCrashes(running: RoutedFleet): number[] {
        return running.upstreams.flatMap(({ crashes }) => crashes).sort((a, b) => a - b);
    }

    /** Counts requests with a crashing part that reached an upstream later than the users' bound. */
    function countLateSends(running: RoutedFleet): number {
        const from = (listCrashes(running)[MAX_CRASHES - 1] ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
        return countSends(running, from);
    }

    /** Counts requests with a crashing part that reached an upstream later than a monotonic time, in milliseconds. */
    function countSends(running: RoutedFleet, from = 0): number {
        const sends = running.upstreams.flatMap(({ runs }) => runs);
        const hasPart = (parts = ""): boolean => parts.split(",").some(part => part.startsWith(`${CRASHING}:`));
        return sends.filter(({ at, headers }) => at > from && hasPart(findHeader(headers, CALL_HEADERS.parts))).length;
    }

    /** Lets the part crash upstreams until no request with it is sent to any. */
    async function startQuarantined(): Promise<{ running: RoutedFleet; load: PartLoad; }> {
        const running = await startFleet();
        const load = new PartLoad(running);
        await load.sendFor(15_000, SHAPES["in the middle"]);
        assert.ok(listCrashes(running).length >= CRASHES_TO_QUARANTINE);
        return { running, load };
    }

    /** Sends a request with the part to an entry. */
    async function sendGuilty({ running, load }: { running: RoutedFleet; load: PartLoad; }, entry: number) {
        return running.run(load.send(SHAPES["in the middle"](), true, entry).reply);
    }

    afterEach(() => fleet.running?.close());

    const SHAPES: Readonly<Record<string, () => readonly string[]>> = {
        "in the middle": () => ["first-0", CRASHING],
        "first": () => [CRASHING, "second-8"],
        "alone": () => [CRASHING],
    };

    for (const [place, makeGuilty] of Object.entries(SHAPES)) {
        it(`reaches few upstreams after its fifth crash, whatever else the prompts hold (${place})`, async () => {
            // No two requests are alike, so a memory of whole requests never meets the same one twice.
            const running = await startFleet();
            const load = new PartLoad(running);
            await load.sendFor(5_000);
            await load.sendFor(20_000, makeGuilty);
            assert.ok(listCrashes(running).length >= CRASHES_TO_QUARANTINE);
            assert.ok(countLateSends(running) <= MAX_LATE_SENDS, `${countLateSends(running)} sent late`);
        });
    }

    it("does not keep sound requests of its caller, or with its first part, from being answered", async () => {
        // The first part and the caller are in each crash, too.
        const running = await startFleet();
        const load = new PartLoad(running);
        await load.sendFor(12_000);
        const from = running.clock.monotonic();
        await load.sendFor(20_000, SHAPES["in the middle"]);
        const fifth = listCrashes(running)[MAX_CRASHES - 1] ?? listCrashes(running).at(-1)!;
        const to = running.clock.monotonic();
        for (const first of [undefined, "first-0"]) {
            const before = await load.findSoundShare(0, from, first);
            const after = await load.findSoundShare(fifth + 2 * CONTACT_MS, to, first);
            assert.ok(after >= MIN_SOUND_SHARE * before, `${first ?? "all"}: ${after} of ${before}`);
        }
    });

    it("is found beside a second one", async () => {
        // The crashes of both mix, and each explains only its own.
        const running = await startFleet();
        const load = new PartLoad(running);
        await load.sendFor(5_000);
        let count = 0;
        await load.sendFor(30_000, () => ["first-0", count++ % 2 === 0 ? CRASHING : ALSO_CRASHING]);
        assert.ok(listCrashes(running).length <= 2 * MAX_CRASHES, `${listCrashes(running).length} crashes`);
        const sends = countSends(running);
        await load.sendFor(5_000, SHAPES["in the middle"]);
        assert.equal(countSends(running), sends);
    });

    it("is not blamed for upstreams that crash at the same moment while it becomes popular", async () => {
        // A part that no upstream has answered yet stands in all of these crashes, although their cause is another one.
        const running = await startFleet();
        const load = new PartLoad(running);
        await load.sendFor(3_000);
        const popular = Array.from({ length: 40 }, () => load.send(["first-0", "popular"]));
        await running.advance(30);
        for (const number of [0, 1, 2, 3, 4]) void running.upstreams[number].crash();
        await running.run(Promise.all(popular.map(({ reply }) => reply)));
        await running.advance(CONTACT_MS);
        const { status } = await running.run(load.send(["first-0", "popular"]).reply);
        assert.equal(status, 200);
    });

    it("is refused at once, as not run, with a retry time, at an entry that is started afterwards", async () => {
        const { running, load } = await startQuarantined();
        await running.run(running.startEntry(ENTRIES));
        await running.advance(CONTACT_MS);
        const sends = countSends(running);
        const reply = await sendGuilty({ running, load }, ENTRIES);
        assert.equal(reply.status, 503);
        assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), "1");
        assert.ok(Number(findHeader(reply.headers, "retry-after")) > 60);
        assert.ok(reply.tookMs < 50, `${reply.tookMs} ms`);
        assert.equal(countSends(running), sends);
    });

    it("stays quarantined when the holder of the control lease is lost", async () => {
        const { running, load } = await startQuarantined();
        await running.killControl(running.holder());
        await running.advance(2 * CONTACT_MS);
        const sends = countSends(running);
        await load.sendFor(5_000, SHAPES["in the middle"]);
        assert.equal(countSends(running), sends);
    });

    it("stays quarantined when all processes lose power at once", async () => {
        const { running, load } = await startQuarantined();
        for (let number = 0; number < running.layout.controls; number++) await running.killControl(number);
        for (let number = 0; number < ENTRIES; number++) await running.killEntry(number);
        for (let number = 0; number < running.layout.controls; number++) {
            await running.run(running.startControl(number));
        }
        for (let number = 0; number < ENTRIES; number++) await running.run(running.startEntry(number));
        await running.advance(CONTACT_MS);
        const sends = countSends(running);
        await load.sendFor(5_000, SHAPES["in the middle"]);
        assert.equal(countSends(running), sends);
    });

    it("is known to a host that reaches no control host from its own crashes", async () => {
        const running = await startFleet();
        const load = new PartLoad(running);
        running.isolateEntry(0, true);
        for (let count = 0; count < 8; count++) {
            load.send(SHAPES["in the middle"](), true, 0);
            await running.advance(1_000);
        }
        assert.equal(listCrashes(running).length, CRASHES_TO_QUARANTINE);
    });

    it("reaches upstreams again once an operator has lifted its quarantine", async () => {
        const fixture = await startQuarantined();
        const { running } = fixture;
        const { quarantine } = running.controls[running.holder()]!.routing!;
        const [listed] = (await running.run(quarantine.readParts())).unsafeCoerce();
        assert.equal(listed.part, CRASHING);
        await running.run(quarantine.liftPart(listed.part));
        await running.advance(CONTACT_MS);
        const sends = countSends(running);
        await sendGuilty(fixture, 1);
        assert.ok(countSends(running) > sends);
    });
});
