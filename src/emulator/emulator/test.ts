import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NodeHttp, SeededRandom, SystemClock } from "../../ports/index.js";
import { ENGINE_PATHS } from "../../protocol/index.js";
import { postJson } from "../_lib/json.js";
import { answerLength, expectedAnswer } from "../answerText/index.js";
import { DEFAULT_EMULATOR_SETTINGS } from "../emulatorSettings/index.js";
import { KeyWatch } from "../keyWatch/index.js";
import { Emulator } from "./index.js";

const MESSAGES = [{ role: "user", content: "Cuts for Friday [tokens=5]" }];
const TIMEOUT_MS = 10_000;

describe("Emulator", () => {
    it("serves chat requests over TCP, and counts callers' keys that reach it", async () => {
        const http = new NodeHttp();
        const keyWatch = new KeyWatch();
        const ports = { clock: new SystemClock(), random: new SeededRandom(1), http, keyWatch };
        const emulator = new Emulator(ports, { ...DEFAULT_EMULATOR_SETTINGS, engines: 1, services: 1 });
        keyWatch.add("leaked-key");
        try {
            await emulator.startAll();
            const [engine] = emulator.engines.values();
            const [host, port] = engine.address.split(":");
            const reply = await postJson(http, { host, port: Number(port) }, ENGINE_PATHS.chat, {
                model: "draft",
                messages: MESSAGES,
                max_tokens: 50,
                stream: true,
                request_id: "r1",
                priority: 0,
                user: "leaked-key",
            }, TIMEOUT_MS);
            let text = "";
            for await (const bytes of reply.unsafeCoerce().body) text += Buffer.from(bytes).toString();
            const contents = [...text.matchAll(/"content":"([^"]*)"/g)].map(([, content]) => content).join("");
            assert.equal(contents, expectedAnswer(MESSAGES, answerLength(MESSAGES)));
            assert.match(text, /data: \[DONE\]\n\n$/);
            assert.equal(emulator.stats().keys.watchedKeys, 1);
            assert.deepEqual(emulator.chatLedger.list(), [{ request: "r1", runs: 1, tokens: 5, software: ["1.0"] }]);
        }
        finally {
            await emulator.close();
        }
    });
});
