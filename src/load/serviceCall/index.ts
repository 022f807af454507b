import * as z from "zod";
import { digestBody } from "../../emulator/index.js";
import { findHeader } from "../../ports/index.js";
import { CALLER_PATHS, IDEMPOTENCY_HEADER, REQUEST_HEADER } from "../../protocol/index.js";
import { parseOrUndefined, readError } from "../_lib/readError.js";
import { CallContext, readText, sendCall } from "../_lib/sendCall.js";
import { Attempt } from "../outcome/index.js";
import { TraceService } from "../trace/index.js";

const answerSchema = z.looseObject({ confirmed: z.string(), run: z.int() });

/**
 * Calls a plain service once, and checks that the answer is that of this call and of its first run.
 *
 * @param ctx - Where to, and by whose key.
 * @param call - The call.
 * @returns What the attempt came to.
 */
export async function callService(ctx: CallContext, call: TraceService): Promise<Attempt> {
    const path = `${CALLER_PATHS.services}${encodeURIComponent(call.service)}${call.path}`;
    const sent = await sendCall(ctx, call, path, call.body, [[IDEMPOTENCY_HEADER, call.idempotency_key]]);
    if (sent.isLeft()) {
        const err = sent.extract();
        return { verdict: "lost", reason: err.reason, isUnreachable: !err.mayHaveLeft, tokenTimes: [] };
    }
    const reply = sent.unsafeCoerce();
    const request = findHeader(reply.headers, REQUEST_HEADER);
    const text = await readText(reply);
    if (text === undefined) return { verdict: "lost", reason: "cut", request, tokenTimes: [] };
    const answer = answerSchema.safeParse(parseOrUndefined(text));
    if (reply.status !== 200 || !answer.success) return readError(text, reply.headers);
    const tokenTimes = [ctx.clock.monotonic()];
    if (answer.data.confirmed !== digestCall(call)) {
        return { verdict: "lost", reason: "wrong-answer", request, tokenTimes };
    }
    if (answer.data.run > 1) return { verdict: "doubled", reason: `run-${answer.data.run}`, request, tokenTimes };
    return { verdict: "answered", request, tokenTimes };
}

/** The digest under which stand-in services record a call. */
export function digestCall(call: TraceService): string {
    return digestBody(Buffer.from(JSON.stringify(call.body)));
}
