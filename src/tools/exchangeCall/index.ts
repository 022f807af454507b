import { Agent, IncomingHttpHeaders, IncomingMessage, request as sendHttp } from "node:http";
import { Address } from "../../ports/index.js";

/** A call as it is sent. Times are in milliseconds. */
export interface SentCall {
    /** Keeps connections open between calls, or not. */
    readonly agent: Agent;
    readonly address: Address;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** Time after which the caller gives up. */
    readonly giveUpMs: number;
    /** Time after which the caller closes the connection; undefined: it waits for the answer. */
    readonly leaveAfterMs?: number;
}

/** `cut`: the connection ended without a complete answer; `left`: the caller closed it; `unanswered`: the caller gave up. */
export type CallEnd = "whole" | "cut" | "left" | "unanswered";

/** An answer as its caller saw it. */
export interface CallAnswer {
    /** Undefined: no head of an answer came. */
    readonly status?: number;
    readonly headers: IncomingHttpHeaders;
    /** One character per byte. */
    readonly body: string;
    readonly end: CallEnd;
}

type Draft = { -readonly [Key in keyof CallAnswer]: CallAnswer[Key]; };

/**
 * Sends a call by POST, and reads its answer to its end, whole or not.
 *
 * @returns Undefined when no connection was accepted.
 * @example
 * const answer = await exchangeCall({ agent, address, path: "/orders/1", headers, body: "order", giveUpMs: 15_000 });
 */
export function exchangeCall(call: SentCall): Promise<CallAnswer | undefined> {
    const { agent, address, path, headers, body, giveUpMs, leaveAfterMs } = call;
    const draft: Draft = { headers: {}, body: "", end: "cut" };
    const contentLength = { "content-length": Buffer.byteLength(body) };
    const req = sendHttp({ ...address, agent, path, method: "POST", headers: { ...headers, ...contentLength } });
    const endAfter = (ms: number, end: CallEnd): NodeJS.Timeout =>
        setTimeout(() => {
            draft.end = end;
            req.destroy();
        }, ms);
    const timers = [endAfter(giveUpMs, "unanswered")];
    if (leaveAfterMs !== undefined) timers.push(endAfter(leaveAfterMs, "left"));
    return new Promise(resolve => {
        let hasConnection = true;
        let answer: Promise<void> | undefined;
        req.once("error", (err: NodeJS.ErrnoException) => hasConnection = err.code !== "ECONNREFUSED");
        req.once("response", res => answer = readAnswer(draft, res));
        req.once("close", async () => {
            for (const timer of timers) clearTimeout(timer);
            await answer;
            resolve(hasConnection ? draft : undefined);
        });
        req.end(body);
    });
}

async function readAnswer(draft: Draft, res: IncomingMessage): Promise<void> {
    draft.status = res.statusCode;
    draft.headers = res.headers;
    const closed = new Promise<void>(resolve => res.once("close", resolve));
    res.on("error", () => undefined);
    res.setEncoding("latin1");
    res.on("data", (chunk: string) => draft.body += chunk);
    await closed;
    if (res.complete) draft.end = "whole";
}
