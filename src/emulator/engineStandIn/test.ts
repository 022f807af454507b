import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ENGINE_PATHS, PREFIX_BLOCK_CHARACTERS } from "../../protocol/index.js";
import { makeEngineConfig, MemoryWorld } from "../_lib/memoryWorld.js";
import { expectedAnswer } from "../answerText/index.js";

const LIMIT_MS = 60_000;

function expectedText(prompt: string, tokens: number): string {
    return expectedAnswer([{ role: "user", content: prompt }], tokens);
}

describe("EngineStandIn", () => {
    describe("batching", () => {
        it("gives each request in the batch one token a step", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            const both = ["a", "b"].map(id => world.chat(address, { id, prompt: `${id} [tokens=10]` }));
            const answers = await world.clock.runUntil(Promise.all(both), LIMIT_MS);
            assert.deepEqual(answers.map(answer => answer.endedAt), [100, 100]);
        });

        it("slows each step down with the batch and with the prompt tokens in it", async () => {
            const world = new MemoryWorld();
            const pace = { ...makeEngineConfig().pace, stepMsPerRequest: 2, prefillMsPerToken: 1 };
            const { address } = await world.startEngine({ pace });
            const answer = await world.clock.runUntil(
                world.chat(address, { prompt: `${"x".repeat(28)} [tokens=2]` }),
                LIMIT_MS,
            );
            const promptTokens = answer.chunks.at(-1)!.usage!.prompt_tokens;
            assert.equal(answer.firstTokenAt, 10 + 2 + promptTokens);
            assert.equal(answer.endedAt, answer.firstTokenAt + 10 + 2);
        });

        it("gives a free slot to the most urgent request, then to the one that came first", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine({ pace: { ...makeEngineConfig().pace, slots: 1 } });
            const order: string[] = [];
            const ask = async (id: string, priority: number): Promise<void> => {
                await world.chat(address, { id, priority, prompt: `${id} [tokens=2]` });
                order.push(id);
            };
            const first = ask("a", 5);
            await world.clock.advance(5);
            const others = [ask("b", 5), ask("c", 1), ask("d", 1)];
            await world.clock.runUntil(Promise.all([first, ...others]), LIMIT_MS);
            assert.deepEqual(order, ["a", "c", "d", "b"]);
        });
    });

    describe("the prefix cache", () => {
        it("spares the prefill of a prompt's known beginning", async () => {
            const world = new MemoryWorld();
            const { address } = await world.startEngine();
            const shared = "s".repeat(2 * PREFIX_BLOCK_CHARACTERS);
            await world.clock.runUntil(world.chat(address, { prompt: `${shared} [tokens=1]` }), LIMIT_MS);
            const second = await world.clock.runUntil(
                world.chat(address, { id: "r2", prompt: `${shared} other [tokens=1]` }),
                LIMIT_MS,
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
            const whole = await world.clock.runUntil(world.chat(address, { prompt }), LIMIT_MS);
            const rest = await world.clock.runUntil(world.chat(other.address, { prompt, offset: 5 }), LIMIT_MS);
            assert.equal(whole.text, expectedText(prompt, 8));
            assert.equal(expectedText(prompt, 5) + rest.text, whole.text);
            assert.equal(rest.chunks[0].offset, 5);
        });

        it("skips the computation of what a KV import brought", async () => {
            const world = new MemoryWorld();
            const first = await world.startEngine();
            const second = await world.startEngine({ address: { host: "other", port: 0 } });
            const prompt = "Sheet for Monday [tokens=8]";
            await world.clock.runUntil(world.chat(first.address, { prompt }), LIMIT_MS);
            const exported = await world.clock.runUntil(
                world.post(first.address, ENGINE_PATHS.kvExport, { request_id: "r1" }),
                LIMIT_MS,
            );
            let state = "";
            for await (const bytes of exported.unsafeCoerce().body) state += Buffer.from(bytes).toString();
            const status = await world.clock.runUntil(
                world.postForStatus(second.address, ENGINE_PATHS.kvImport, JSON.parse(state)),
                LIMIT_MS,
            );
            assert.equal(status, 204);
            await world.clock.runUntil(world.chat(second.address, { prompt, offset: 5 }), LIMIT_MS);
            assert.equal(second.engine.stats().computedPromptTokens, 0);
        });
    });

    describe("cancel", () => {
        it("ends the stream with a truthful last event, and frees the slot", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const running = world.chat(address, { prompt: "long [tokens=900]" });
            await world.clock.advance(100);
            assert.equal(engine.stats().running, 1);
            const cancelled = world.postForStatus(address, ENGINE_PATHS.cancel, { request_id: "r1" });
            const [answer, status] = await world.clock.runUntil(Promise.all([running, cancelled]), LIMIT_MS);
            assert.equal(status, 204);
            assert.equal(answer.chunks.at(-1)!.choices[0].finish_reason, "cancelled");
            assert.ok(answer.isDone);
            assert.equal(engine.stats().running, 0);
        });

        it("frees the slot of a caller that has gone", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const abort = new AbortController();
            const running = world.chat(address, { prompt: "long [tokens=900]", signal: abort.signal });
            await world.clock.advance(100);
            abort.abort();
            await world.clock.runUntil(running, LIMIT_MS);
            await world.clock.advance(10);
            assert.deepEqual([engine.stats().running, engine.stats().abandoned], [0, 1]);
        });
    });

    describe("orders", () => {
        const order = { action: "load_model", target: "sheets-2" };

        it("refuses an old fencing token when it checks them", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const send = (order_id: string, fencing_token: number): Promise<number> =>
                world.clock.runUntil(
                    world.postForStatus(address, ENGINE_PATHS.orders, { ...order, order_id, fencing_token }),
                    LIMIT_MS,
                );
            assert.deepEqual([await send("o1", 2), await send("o2", 1), await send("o1", 2)], [200, 409, 200]);
            assert.deepEqual(engine.loaded, ["sheets-2"]);
        });

        it("obeys it when it does not, and the log shows two senders in charge", async () => {
            const world = new MemoryWorld();
            const identity = { ...makeEngineConfig().identity, checksFence: false };
            const { engine, address } = await world.startEngine({ identity });
            for (const [order_id, fencing_token] of [["o1", 2], ["o2", 1]]) {
                const body = { ...order, order_id, fencing_token };
                const sent = world.postForStatus(address, ENGINE_PATHS.orders, body);
                assert.equal(await world.clock.runUntil(sent, LIMIT_MS), 200);
            }
            assert.equal(engine.stats().orderReversals, 1);
        });
    });

    describe("announcements", () => {
        it("report a load that lags", async () => {
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

        it("tell cache events late, and a jump in the sequence shows those that were lost", async () => {
            const world = new MemoryWorld();
            const announcer = { ...makeEngineConfig().announcer, cacheLoss: 0.3 };
            const { address } = await world.startEngine({ announcer, cacheBlocks: 100 });
            const prompt = `${"s".repeat(50 * PREFIX_BLOCK_CHARACTERS)} [tokens=1]`;
            await world.clock.runUntil(world.chat(address, { prompt }), LIMIT_MS);
            await world.clock.advance(900);
            assert.ok(world.announcements.every(announcement => announcement.cache === undefined));
            await world.clock.advance(60_000);
            const told = world.announcements.flatMap(announcement => announcement.cache ?? []);
            const events = told.reduce((sum, cache) => sum + cache.events.length, 0);
            const gaps = told.filter((cache, index) =>
                index > 0 && cache.sequence > told[index - 1].sequence + told[index - 1].events.length
            );
            assert.ok(events < 50 && events > 20, `${events} events`);
            assert.ok(gaps.length > 0);
        });

        it("say leaving, and gone last, after the streams are whole", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=20]" });
            await world.clock.advance(50);
            const stopped = engine.stop();
            assert.ok((await world.clock.runUntil(answer, LIMIT_MS)).isDone);
            await world.clock.runUntil(stopped, LIMIT_MS);
            const states = world.announcements.map(announcement => announcement.state);
            assert.deepEqual([...new Set(states)], ["ready", "leaving", "gone"]);
        });

        it("count the time down to a reclaim, at which open streams break off", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "long [tokens=900]" });
            await world.clock.advance(100);
            engine.reclaim(2_000);
            const { isCut, endedAt } = await world.clock.runUntil(answer, LIMIT_MS);
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
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=9]" }), LIMIT_MS);
            assert.deepEqual([answer.isCut, answer.text], [true, expectedText("a [tokens=9]", 3)]);
        });

        it("ends without the terminal event", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "unfinished", afterTokens: 3 });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=9]" }), LIMIT_MS);
            assert.deepEqual([answer.isCut, answer.isDone, answer.chunks.length], [false, false, 3]);
        });

        it("falls silent over an open connection, and its slot is free", async () => {
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
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=1]" }), LIMIT_MS);
            assert.equal(answer.firstTokenAt, 710);
        });

        it("gives another request's answer under that one's id", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.faults.add({ kind: "crossed", id: "r9" });
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=4]" }), LIMIT_MS);
            assert.equal(answer.chunks[0].id, "r9");
            assert.notEqual(answer.text, expectedText("a [tokens=4]", 4));
        });

        it("is a straggler by the factor set", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            engine.setSlowdown(5);
            const answer = await world.clock.runUntil(world.chat(address, { prompt: "a [tokens=4]" }), LIMIT_MS);
            assert.equal(answer.endedAt, 200);
        });

        it("freezes without a word, and goes on where it was", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=10]" });
            await world.clock.advance(55);
            engine.setFrozen(true);
            await world.clock.advance(5_000);
            assert.equal(world.announcements.length, 1);
            engine.setFrozen(false);
            const { text, endedAt } = await world.clock.runUntil(answer, LIMIT_MS);
            assert.equal(text, expectedText("a [tokens=10]", 10));
            assert.ok(endedAt > 5_055);
        });

        it("crashes: open streams break off, and later requests find nobody", async () => {
            const world = new MemoryWorld();
            const { engine, address } = await world.startEngine();
            const answer = world.chat(address, { prompt: "a [tokens=10]" });
            await world.clock.advance(55);
            await engine.crash();
            assert.ok((await world.clock.runUntil(answer, LIMIT_MS)).isCut);
            const status = await world.clock.runUntil(world.postForStatus(address, ENGINE_PATHS.cancel, {}), LIMIT_MS);
            assert.equal(status, 0);
        });
    });
});
