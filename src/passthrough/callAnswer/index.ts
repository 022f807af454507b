import { RequestId } from "../../ids/index.js";
import { HeaderList, HttpResponse } from "../../ports/index.js";
import { CallDialect } from "../callDialect/index.js";
import { CallError } from "../callError/index.js";

/** What an answer is written with. */
export interface CallAnswerOptions {
    readonly res: HttpResponse;
    readonly dialect: CallDialect;
    /** The caller should open a new connection for its next request. */
    readonly isDraining: () => boolean;
}

/** The one answer of a call, from its head to its end. */
export class CallAnswer {
    private status: number | undefined;

    constructor(private readonly options: CallAnswerOptions) {}

    /** The status that has gone out; undefined before the head. */
    get startedWith(): number | undefined {
        return this.status;
    }

    start(status: number, headers: HeaderList): void {
        const { res, isDraining } = this.options;
        this.status = status;
        res.head(status, isDraining() ? [...headers, ["connection", "close"]] : headers);
    }

    /** Settles when the caller can take more. */
    write(bytes: Uint8Array): Promise<void> {
        return this.options.res.write(bytes);
    }

    end(bytes?: Uint8Array): void {
        this.options.res.end(bytes);
    }

    /** Sends the whole answer at once. */
    send(status: number, headers: HeaderList, body: Uint8Array): void {
        this.start(status, headers);
        this.end(body);
    }

    /**
     * Ends the call with an answer of our own.
     *
     * Guards against part of an answer that passes for the whole: where the head is out, the connection is cut in the middle.
     */
    fail(err: CallError, request: RequestId | undefined): void {
        const { res, dialect } = this.options;
        if (this.status !== undefined) {
            res.reset();
            return;
        }
        const { status, headers, body } = dialect.writeError(err, request);
        const bytes = Buffer.from(body);
        this.send(status, [...headers, ["content-length", String(bytes.length)]], bytes);
    }
}
