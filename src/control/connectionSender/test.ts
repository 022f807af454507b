import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { makeWrongAnswers, SystemClock, TcpNetwork, WRONG_PATH, WrongAnswer, WrongServer } from "../../ports/index.js";
import { ConnectionSender } from "./index.js";

const SEED = 2;
const SAMPLE_SIZE = 60;
const CONCURRENCY = 24;
/** Time limit of requests whose answer is wrong, and of those whose answer must be accepted, in milliseconds. */
const WRONG_LIMIT_MS = 300;
const CORRECT_LIMIT_MS = 20_000;
/** Time after which a request counts as hanging, in milliseconds: far beyond its limit. */
const HANG_MS = 20_000;
const POLL_MS = 10;

/** Sends a request to a server with this answer; returns the status, or why there is none. */
async function sendTo(answer: WrongAnswer): Promise<string> {
    const server = await WrongServer.start(answer);
    const limitMs = answer.isCorrect ? CORRECT_LIMIT_MS : WRONG_LIMIT_MS;
    const sender = new ConnectionSender(new TcpNetwork(), new SystemClock(), limitMs);
    const call = { address: server.address, path: WRONG_PATH, body: {} };
    const hang = new AbortController();
    try {
        const result = await Promise.race([
            sender.send(call, () => true).then(sent =>
                sent.caseOf({ Left: err => `no answer: ${err.reason}`, Right: ({ status }) => `${status}` })
            ),
            sleep(limitMs + HANG_MS, "hangs", { signal: hang.signal }),
        ]);
        for (let waitedMs = 0; waitedMs < HANG_MS && server.openCount > 0; waitedMs += POLL_MS) await sleep(POLL_MS);
        return server.openCount > 0 ? "its connection stays open" : result;
    }
    finally {
        hang.abort();
        await server.close();
    }
}

function answerOf(bytes: string, endless?: string): WrongAnswer {
    return { name: bytes, bytes, endless, ending: "closed", isCorrect: false, hasRest: false };
}

function findFault({ isCorrect, body }: WrongAnswer, result: string): string | undefined {
    const isAnswer = /^\d+$/.test(result);
    if (isCorrect || body !== undefined) return isAnswer || !isCorrect ? undefined : result;
    return result.startsWith("no answer") ? undefined : result;
}

describe("ConnectionSender", () => {
    it("reads the final answer behind interim ones", async () => {
        // Failure: an order that was executed counts as refused, since the interim status is taken for the answer's.
        const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        assert.equal(await sendTo({ ...answerOf(interim + interim + final), isCorrect: true }), "200");
    });

    it("rejects a negative chunk size", async () => {
        // Failure: the parser goes back to where it was, and the process neither does anything else nor ends.
        const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert.equal(await sendTo(answerOf(`${head}-6\r\nhello\r\n0\r\n\r\n`)), "no answer: lost");
    });

    it("gives up on a body without end", async () => {
        // Failure: memory grows, and all that came is copied for each piece, for as long as the receiver sends.
        const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const answer = answerOf(head, "1\r\nx\r\n");
        assert.equal(await sendTo({ ...answer, isCorrect: true }), "no answer: lost");
    });

    it("ends each request by its time limit whatever the answer is", async () => {
        // Guards against requests that hang, connections that stay open, and wrong bytes that count as an answer.
        const answers = makeWrongAnswers(SEED, SAMPLE_SIZE);
        // A connection does not tell a reset from a close.
        const told = answers.filter(({ name }) => !/(no length|neither length nor body), reset/.test(name));
        const faults: string[] = [];
        const queue = [...told];
        const work = async (): Promise<void> => {
            for (let answer = queue.shift(); answer; answer = queue.shift()) {
                const fault = findFault(answer, await sendTo(answer));
                if (fault !== undefined) faults.push(`${answer.name}: ${fault}`);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENCY }, work));
        assert.ok(told.length > 200, `${told.length} answers`);
        assert.deepEqual(faults, []);
    });
});
