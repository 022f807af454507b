import { CallHead, NativeDialect, ReplyHead, UpstreamCallFields } from "../../passthrough/index.js";
import { HeaderList, HttpReply } from "../../ports/index.js";

/** A step of a call at which a `ThrowingDialect` may throw: before the call is sent, or when its answer has come. */
export type ThrowingStep = "before-sending" | "behind-answer";

/**
 * Throws within some calls, as an error that no code expects does.
 *
 * @example
 * const dialect = new ThrowingDialect((request, step) => request === "call-7" && step === "before-sending");
 */
export class ThrowingDialect extends NativeDialect {
    /** @param throws - Whether a call throws at a step; called with its id. */
    constructor(private readonly throws: (request: string, step: ThrowingStep) => boolean) {
        super();
    }

    override writeHead(head: CallHead, fields: UpstreamCallFields): HeaderList {
        if (this.throws(head.request, "before-sending")) throw new Error("by the test, before sending");
        return super.writeHead(head, fields);
    }

    override readReply(reply: HttpReply): ReplyHead {
        const head = super.readReply(reply);
        const [request] = head.requests;
        if (request !== undefined && this.throws(request, "behind-answer")) {
            throw new Error("by the test, behind the answer");
        }
        return head;
    }
}
