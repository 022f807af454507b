import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { REQUEST_ID_HEADER } from "../../protocol/index.js";
import { makeEngineConfig, MemoryWorld } from "../_lib/memoryWorld.js";
import { RunLedger } from "../runLedger/index.js";
import { EmulatedService, ServiceAnswer } from "./index.js";

const TIMEOUT_MS = 60_000;
const ORDER = { order: "lamb-17" };

async function startService() {
    const world = new MemoryWorld();
    const ledger = new RunLedger();
    const service = new EmulatedService(world.ports("service"), ledger, {
        identity: { ...makeEngineConfig().identity, pools: ["orders"] },
        address: { host: "service", port: 0 },
        slots: 1,
        minLatencyMs: 20,
        maxLatencyMs: 20,
        announcer: makeEngineConfig().announcer,
    });
    const address = await service.start();
    const call = (): Promise<ServiceAnswer | undefined> => readAnswer(world.post(address, "/orders", ORDER));
    return { world, ledger, service, address, call };
}

async function readAnswer(sent: ReturnType<MemoryWorld["post"]>): Promise<ServiceAnswer | undefined> {
    const reply = await sent;
    if (reply.isLeft()) return undefined;
    let text = "";
    for await (const bytes of reply.unsafeCoerce().body) text += Buffer.from(bytes).toString();
    return JSON.parse(text) as ServiceAnswer;
}

describe("EmulatedService", () => {
    it("records each run, and shows a duplicate in the answer and in the ledger", async () => {
        const { world, ledger, call } = await startService();
        const first = await world.clock.runUntil(call(), TIMEOUT_MS);
        const second = await world.clock.runUntil(call(), TIMEOUT_MS);
        assert.deepEqual([first?.run, second?.run], [1, 2]);
        assert.equal(first?.confirmed, second?.confirmed);
        assert.equal(ledger.doubled().length, 1);
    });

    it("runs at most as many calls concurrently as it has slots", async () => {
        const { world, call } = await startService();
        await world.clock.runUntil(Promise.all([call(), call(), call()]), TIMEOUT_MS);
        assert.equal(world.clock.monotonic(), 60);
    });

    it("runs a call whose answer is lost", async () => {
        const { world, ledger, service, call } = await startService();
        service.addFaults({ kind: "lost" });
        assert.equal(await world.clock.runUntil(call(), TIMEOUT_MS), undefined);
        assert.equal(ledger.distinctCallCount, 1);
    });

    it("does not run queued calls after a crash", async () => {
        const { world, ledger, service, call } = await startService();
        const calls = Promise.all([call(), call(), call()]);
        await world.clock.advance(5);
        await service.crash();
        assert.deepEqual(await world.clock.runUntil(calls, TIMEOUT_MS), [undefined, undefined, undefined]);
        await world.clock.advance(1_000);
        assert.equal(ledger.list().reduce((sum, { runs }) => sum + runs, 0), 1);
    });

    it("does not run a call that it refuses", async () => {
        const { world, ledger, service, call } = await startService();
        service.addFaults({ kind: "refused", status: 503 });
        await world.clock.runUntil(call(), TIMEOUT_MS);
        assert.equal(ledger.distinctCallCount, 0);
    });

    it("answers with another request's id on a crossed fault", async () => {
        const { world, service, address } = await startService();
        service.addFaults({ kind: "crossed", id: "r9" });
        const reply = await world.clock.runUntil(world.post(address, "/orders", ORDER), TIMEOUT_MS);
        assert.deepEqual(reply.unsafeCoerce().headers.find(([name]) => name === REQUEST_ID_HEADER)?.[1], "r9");
    });
});
