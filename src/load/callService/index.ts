import * as z from "zod";
import { digestBody } from "../../emulator/index.js";
import { findHeader } from "../../ports/index.js";
import { CALLER_PATHS, IDEMPOTENCY_HEADER, REQUEST_HEADER } from "../../protocol/index.js";
import { parseErrorResult, tryParseJson } from "../_lib/parseErrorResult.js";
import { CallContext, readText, sendCall } from "../_lib/sendCall.js";
import { AttemptResult } from "../requestResult/index.js";
import { TraceService } from "../trace/index.js";

const confirmationSchema = z.looseObject({ confirmed: z.string(), run: z.int() });

/**
 * Calls a plain service once, and checks that the answer belongs to this call and to its first run.
 *
 * @param ctx - Connection and credentials of the attempt.
 * @param call - Call to send.
 * @returns The result of the attempt.
 */
export async function callService(ctx: CallContext, call: TraceService): Promise<AttemptResult> {
    const path = `${CALLER_PATHS.services}${encodeURIComponent(call.service)}${call.path}`;
    const sent = await sendCall(ctx, call, path, call.body, [[IDEMPOTENCY_HEADER, call.idempotency_key]]);
    if (sent.isLeft()) {
        const err = sent.extract();
        return { verdict: "lost", reason: err.reason, isUnreachable: !err.mayHaveBeenSent, tokenTimes: [] };
    }
    const reply = sent.unsafeCoerce();
    const request = findHeader(reply.headers, REQUEST_HEADER);
    const text = await readText(reply);
    if (text === undefined) return { verdict: "lost", reason: "cut", request, tokenTimes: [] };
    const answer = confirmationSchema.safeParse(tryParseJson(text));
    if (reply.status !== 200 || !answer.success) return parseErrorResult(text, reply.headers);
    const tokenTimes = [ctx.clock.monotonic()];
    if (answer.data.confirmed !== digestCall(call)) {
        return { verdict: "lost", reason: "wrong-answer", request, tokenTimes };
    }
    if (answer.data.run > 1) return { verdict: "doubled", reason: `run-${answer.data.run}`, request, tokenTimes };
    return { verdict: "answered", request, tokenTimes };
}

/** Computes the digest under which emulated services record a call. */
export function digestCall(call: TraceService): string {
    return digestBody(Buffer.from(JSON.stringify(call.body)));
}
