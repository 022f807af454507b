import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpError, readReplyText } from "../http/index.js";
import { makeWrongAnswers, ORDINARY_BODY, WRONG_PATH, WrongAnswer, WrongServer } from "../index.js";
import { Address } from "../network/index.js";
import { NodeHttpClient } from "./index.js";

const SEED = 1;
const SAMPLE_SIZE = 80;
const CONCURRENCY = 24;
/** Deadline of requests whose answer is wrong, and of those whose answer must be accepted, in milliseconds. */
const WRONG_DEADLINE_MS = 400;
const CORRECT_DEADLINE_MS = 20_000;
/** Time after which a request counts as hanging, and a connection as left open, in milliseconds: far beyond the deadline. */
const HANG_MS = 20_000;
const POLL_MS = 10;

/** Sends a request and reads its answer; returns the body, or the class of failure. */
async function fetchText(
    client: NodeHttpClient,
    address: Address,
    path: string,
    deadlineMs: number,
): Promise<string> {
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort(), deadlineMs);
    try {
        const sent = await client.send({
            address,
            method: "GET",
            path,
            headers: [],
            newConnection: false,
            connectTimeoutMs: HANG_MS,
            headTimeoutMs: deadlineMs,
            signal: deadline.signal,
        });
        if (sent.isLeft()) return `failed: ${(sent.extract() as HttpError).reason}`;
        return `whole: ${await readReplyText(sent.unsafeCoerce())}`;
    }
    catch (err) {
        return `failed: ${(err as HttpError).reason}`;
    }
    finally {
        clearTimeout(timer);
    }
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
    for (let waitedMs = 0; waitedMs < HANG_MS && !condition(); waitedMs += POLL_MS) await sleep(POLL_MS);
    return condition();
}

/** Returns what is wrong with how the client takes an answer; undefined where nothing is. */
async function findFault(answer: WrongAnswer): Promise<string | undefined> {
    const server = await WrongServer.start(answer);
    const client = new NodeHttpClient();
    try {
        const deadlineMs = answer.isCorrect ? CORRECT_DEADLINE_MS : WRONG_DEADLINE_MS;
        const hang = new AbortController();
        const result = await Promise.race([
            fetchText(client, server.address, WRONG_PATH, deadlineMs),
            sleep(deadlineMs + HANG_MS, "hangs", { signal: hang.signal }),
        ]);
        hang.abort();
        if (result === "hangs") return result;
        const isWhole = result.startsWith("whole: ");
        if (isWhole && result !== `whole: ${answer.body}`) return `counts as ${result.slice(0, 40)}`;
        if (!isWhole && answer.isCorrect) return result;
        const mayKeep = isWhole && !answer.hasRest;
        if (!mayKeep && !await waitUntil(() => server.openCount === 0)) return "its connection stays open";
        const next = await fetchText(
            client,
            server.address,
            "/next",
            mayKeep ? WRONG_DEADLINE_MS : CORRECT_DEADLINE_MS,
        );
        const isNextOrdinary = next === `whole: ${ORDINARY_BODY}`;
        return isNextOrdinary || (mayKeep && next.startsWith("failed")) ? undefined : `the next request: ${next}`;
    }
    finally {
        await server.close();
    }
}

describe("NodeHttpClient", () => {
    const switches = [
        [
            "a header names the protocol",
            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
        ],
        ["none does", "HTTP/1.1 101 Switching Protocols\r\n\r\n"],
    ] as const;
    for (const [name, bytes] of switches) {
        it(`takes a change of protocol that was not requested for a malformed answer, where ${name}`, async () => {
            // Failure: the request never ends, or its caller gets status 101 as the final answer.
            const answer = { name, bytes, ending: "kept", isCorrect: false, hasRest: false } as const;
            const server = await WrongServer.start(answer);
            try {
                const fetched = fetchText(new NodeHttpClient(), server.address, WRONG_PATH, CORRECT_DEADLINE_MS);
                const hang = sleep(CORRECT_DEADLINE_MS + HANG_MS, "hangs", { ref: false });
                assert.equal(await Promise.race([fetched, hang]), "failed: malformed");
                assert.ok(await waitUntil(() => server.openCount === 0));
            }
            finally {
                await server.close();
            }
        });
    }

    it("ends each wrong or endless answer by its deadline, and uses its connection for nothing else", async () => {
        // Guards against requests that hang, connections that stay open, and bytes that reach another request.
        const answers = makeWrongAnswers(SEED, SAMPLE_SIZE);
        const faults: string[] = [];
        const queue = [...answers];
        const work = async (): Promise<void> => {
            for (let answer = queue.shift(); answer; answer = queue.shift()) {
                const fault = await findFault(answer);
                if (fault !== undefined) faults.push(`${answer.name}: ${fault}`);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENCY }, work));
        assert.ok(answers.length > 200, `${answers.length} answers`);
        assert.deepEqual(faults, []);
    });
});
