import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ENGINE_PATHS, PREFIX_BLOCK_CHARACTERS } from "../../protocol/index.js";
import { makeEngineConfig, MemoryWorld } from "../_lib/memoryWorld.js";
import { expectedAnswer } from "../answerText/index.js";

const TIMEOUT_MS = 60_000;

function expectedText(prompt: string, tokens: number): string {
    return expectedAnswer([{ role: "user", content: prompt }], tokens);
}

describe("EmulatedEngine", () => {
    describe("batching", () => {
        it("produces one token per step for each request in the batch", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            const chats = ["a", "b"].map(id => world.chat(address, { id, prompt: `${id} [tokens=10]` }));
            const answers = await world.clock.runUntil(Promise.all(chats), TIMEOUT_MS);
            assert.deepEqual(answers.map(answer => answer.endedAt), [100, 100]);
        });

        it("adds to a step's duration per request in the batch and per prompt token computed", async () => {
            const world = new MemoryWorld();
            const slowTiming = { ...makeEngineConfig().pace, stepMsPerRequest: 2, prefillMsPerToken: 1 };
            const { address } = await world.startEngine({ pace: slowTiming });
            const answer = await world.clock.runUntil(
                world.chat(address, { prompt: `${"x".repeat(28)} [tokens=2]` }),
                TIMEOUT_MS,
            );
            const promptTokens = answer.chunks.at(-1)!.usage!.prompt_tokens;
            assert.equal(answer.firstTokenAt, 10 + 2 + promptTokens);
            assert.equal(answer.endedAt, answer.firstTokenAt + 10 + 2);
        });

        it("assigns a free slot by priority, then by arrival", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine({ pace: { ...makeEngineConfig().pace, slots: 1 } });
            const endedIds: string[] = [];
            const sendChat = async (id: string, priority: number): Promise<void> => {
                await world.chat(address, { id, priority, prompt: `${id} [tokens=2]` });
                endedIds.push(id);
            };
            const first = sendChat("a", 5);
            await world.clock.advance(5);
            const others = [sendChat("b", 5), sendChat("c", 1), sendChat("d", 1)];
            await world.clock.runUntil(Promise.all([first, ...others]), TIMEOUT_MS);
            assert.deepEqual(endedIds, ["a", "c", "d", "b"]);
        });
    });

    describe("the prefix cache", () => {
        it("skips the prefill of a prompt's cached prefix", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            const shared = "s".repeat(2 * PREFIX_BLOCK_CHARACTERS);
            await world.clock.runUntil(world.chat(address, { prompt: `${shared} [tokens=1]` }), TIMEOUT_MS);
            const second = await world.clock.runUntil(
                world.chat(address, { id: "r2", prompt: `${shared} other [tokens=1]` }),
                TIMEOUT_MS,
            );
            assert.equal(second.chunks.at(-1)!.usage!.cached_tokens, 128);
        });
    });

    describe("resume", () => {
        it("continues the same text on another engine", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            const other = await world.startEngine({ address: { host: "other", port: 0 } });
            const prompt = "Sheet for Monday [tokens=8]";
            const whole = await world.clock.runUntil(world.chat(address, { prompt }), TIMEOUT_MS);
            const resumed = await world.clock.runUntil(world.chat(other.address, { prompt, offset: 5 }), TIMEOUT_MS);
            assert.equal(whole.text, expectedText(prompt, 8));
            assert.equal(expectedText(prompt, 5) + resumed.text, whole.text);
            assert.equal(resumed.chunks[0].offset, 5);
        });

        it("skips the prefill of tokens in an imported KV state", async () => {
            const world = new MemoryWorld();
            const first = await world.startEngine();
            const second = await world.startEngine({ address: { host: "other", port: 0 } });
            const prompt = "Sheet for Monday [tokens=8]";
            await world.clock.runUntil(world.chat(first.address, { prompt }), TIMEOUT_MS);
            const exported = await world.clock.runUntil(
                world.post(first.address, ENGINE_PATHS.kvExport, { request_id: "r1" }),
                TIMEOUT_MS,
            );
            let state = "";
            for await (const bytes of exported.unsafeCoerce().body) state += Buffer.from(bytes).toString();
            const status = await world.clock.runUntil(
                world.postForStatus(second.address, ENGINE_PATHS.kvImport, JSON.parse(state)),
                TIMEOUT_MS,
            );
            assert.equal(status, 204);
            await world.clock.runUntil(world.chat(second.address, { prompt, offset: 5 }), TIMEOUT_MS);
            assert.equal(second.engine.stats().computedPromptTokens, 0);
        });
    });

    describe("cancel", () => {
        it("ends the stream with the finish reason cancelled, and frees the slot", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const running = world.chat(address, { prompt: "long [tokens=900]" });
            await world.clock.advance(100);
            assert.equal(engine.stats().running, 1);
            const cancelled = world.postForStatus(address, ENGINE_PATHS.cancel, { request_id: "r1" });
            const [answer, status] = await world.clock.runUntil(Promise.all([running, cancelled]), TIMEOUT_MS);
            assert.equal(status, 204);
            assert.equal(answer.chunks.at(-1)!.choices[0].finish_reason, "cancelled");
            assert.ok(answer.isDone);
            assert.equal(engine.stats().running, 0);
        });

        it("frees the slot of a caller that disconnects", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const abort = new AbortController();
            const running = world.chat(address, { prompt: "long [tokens=900]", signal: abort.signal });
            await world.clock.advance(100);
            abort.abort();
            await world.clock.runUntil(running, TIMEOUT_MS);
            await world.clock.advance(10);
            assert.deepEqual([engine.stats().running, engine.stats().abandoned], [0, 1]);
        });
    });

    describe("orders", () => {
        const order = { action: "load_model", target: "sheets-2" };

        it("refuses an old fencing token if it checks them", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const send = (order_id: string, fencing_token: number): Promise<number> =>
                world.clock.runUntil(
                    world.postForStatus(address, ENGINE_PATHS.orders, { ...order, order_id, fencing_token }),
                    TIMEOUT_MS,
                );
            assert.deepEqual([await send("o1", 2), await send("o2", 1), await send("o1", 2)], [200, 409, 200]);
            assert.deepEqual(engine.loadedTargets, ["sheets-2"]);
        });

        it("executes an order with an old fencing token if it doesn't check them, and counts the reversal", async () => {
            const world = new MemoryWorld();
            const identity = { ...makeEngineConfig().identity, checksFence: false };
            const { engine, address } = await world.startEngine({ identity });
            for (const [order_id, fencing_token] of [["o1", 2], ["o2", 1]]) {
                const body = { ...order, order_id, fencing_token };
                const sent = world.postForStatus(address, ENGINE_PATHS.orders, body);
                assert.equal(await world.clock.runUntil(sent, TIMEOUT_MS), 200);
            }
            assert.equal(engine.stats().orderReversals, 1);
        });
    });

    describe("announcements", () => {
        it("report a delayed load", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            await world.clock.advance(600);
            void world.chat(address, { prompt: "long [tokens=900]" });
            await world.clock.advance(500);
            assert.deepEqual([world.announcements.at(-1)!.load.running, world.announcements.at(-1)!.load.age_ms], [
                0,
                500,
            ]);
            await world.clock.advance(500);
            assert.equal(world.announcements.at(-1)!.load.running, 1);
        });

        it("report cache events late, with a sequence gap where events were lost", async () => {
            const world = new MemoryWorld();
            const announcer = { ...makeEngineConfig().announcer, cacheLoss: 0.3 };
            const { address } = await world.startEngine({ announcer, cacheBlocks: 100 });
            const prompt = `${"s".repeat(50 * PREFIX_BLOCK_CHARACTERS)} [tokens=1]`;
            await world.clock.runUntil(world.chat(address, { prompt }), TIMEOUT_MS);
            await world.clock.advance(900);
            assert.ok(world.announcements.every(announcement => announcement.cache === undefined));
            await world.clock.advance(60_000);
            const received = world.announcements.flatMap(announcement => announcement.cache ?? []);
            const events = received.reduce((sum, cache) => sum + cache.events.length, 0);
            const gaps = received.filter((cache, index) =>
                index > 0 && cache.sequence > received[index - 1].sequence + received[index - 1].events.length
            );
            assert.ok(events < 50 && events > 20, `${events} events`);
            assert.ok(gaps.length > 0);
        });

        it("report leaving, and then gone once all streams have ended", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=20]" });
            await world.clock.advance(50);
            const stopped = engine.stop();
            assert.ok((await world.clock.runUntil(answer, TIMEOUT_MS)).isDone);
            await world.clock.runUntil(stopped, TIMEOUT_MS);
            const states = world.announcements.map(announcement => announcement.state);
            assert.deepEqual([...new Set(states)], ["ready", "leaving", "gone"]);
        });

        it("report the time left until a reclaim, which resets open streams", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "long [tokens=900]" });
            await world.clock.advance(100);
            engine.reclaim(2_000);
            const { isCut, endedAt } = await world.clock.runUntil(answer, TIMEOUT_MS);
            assert.ok(isCut);
            assert.equal(endedAt, 2_100);
            const notices = world.announcements.flatMap(announcement => announcement.reclaim_in_ms ?? []);
            assert.deepEqual(notices.slice(0, 2), [2_000, 1_600]);
        });
    });

    describe("faults", () => {
        it("cuts the connection after some tokens", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "cut", afterTokens: 3 });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=9]" }), TIMEOUT_MS);
            assert.deepEqual([answer.isCut, answer.text], [true, expectedText("a [tokens=9]", 3)]);
        });

        it("ends without the terminal event", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "unfinished", afterTokens: 3 });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=9]" }), TIMEOUT_MS);
            assert.deepEqual([answer.isCut, answer.isDone, answer.chunks.length], [false, false, 3]);
        });

        it("stops sending on an open connection, and frees the slot", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "silent", afterTokens: 3 });
            const answer = world.chat(address, { prompt: "a [tokens=9]" });
            await assert.rejects(world.clock.runUntil(answer, 30_000), /not settled/);
            assert.equal(engine.stats().running, 0);
        });

        it("answers late", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "late", delayMs: 700 });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=1]" }), TIMEOUT_MS);
            assert.equal(answer.firstTokenAt, 710);
        });

        it("sends another request's answer under that request's id", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "crossed", id: "r9" });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=4]" }), TIMEOUT_MS);
            assert.equal(answer.chunks[0].id, "r9");
            assert.notEqual(answer.text, expectedText("a [tokens=4]", 4));
        });

        it("slows down by the slowdown factor", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.setSlowdown(5);
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=4]" }), TIMEOUT_MS);
            assert.equal(answer.endedAt, 200);
        });

        it("sends nothing while frozen, and continues where it stopped", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=10]" });
            await world.clock.advance(55);
            engine.setFrozen(true);
            await world.clock.advance(5_000);
            assert.equal(world.announcements.length, 1);
            engine.setFrozen(false);
            const { text, endedAt } = await world.clock.runUntil(answer, TIMEOUT_MS);
            assert.equal(text, expectedText("a [tokens=10]", 10));
            assert.ok(endedAt > 5_055);
        });

        it("resets open streams and refuses later connections after a crash", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=10]" });
            await world.clock.advance(55);
            await engine.crash();
            assert.ok((await world.clock.runUntil(answer, TIMEOUT_MS)).isCut);
            const status = await world.clock.runUntil(
                world.postForStatus(address, ENGINE_PATHS.cancel, {}),
                TIMEOUT_MS,
            );
            assert.equal(status, 0);
        });
    });
});
