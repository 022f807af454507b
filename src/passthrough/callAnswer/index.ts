import { RequestId } from "../../ids/index.js";
import { HeaderList, HttpResponse } from "../../ports/index.js";
import { CallDialect } from "../callDialect/index.js";
import { CallError } from "../callError/index.js";

/** Options of `CallAnswer`. */
export interface CallAnswerOptions {
    readonly res: HttpResponse;
    readonly dialect: CallDialect;
    /** Whether the answer closes its connection, so that the caller opens a new one for its next request. */
    readonly isDraining: () => boolean;
}

/** Writes the answer of a call to the caller, from its head to its end. */
export class CallAnswer {
    private status: number | undefined;

    constructor(private readonly options: CallAnswerOptions) {}

    /** The status sent to the caller; undefined before the head. */
    get sentStatus(): number | undefined {
        return this.status;
    }

    sendHead(status: number, headers: HeaderList): void {
        const { res, isDraining } = this.options;
        this.status = status;
        res.head(status, isDraining() ? [...headers, ["connection", "close"]] : headers);
    }

    /** Writes part of the body. Settles when the caller can receive more. */
    write(bytes: Uint8Array): Promise<void> {
        return this.options.res.write(bytes);
    }

    end(bytes?: Uint8Array): void {
        this.options.res.end(bytes);
    }

    /** Sends a complete answer. */
    sendWhole(status: number, headers: HeaderList, body: Uint8Array): void {
        this.sendHead(status, headers);
        this.end(body);
    }

    /**
     * Ends the call with an error answer of this system. If the head has been sent, the connection is reset instead, so
     * that the caller cannot mistake a truncated answer for a complete one.
     */
    sendError(err: CallError, request: RequestId | undefined): void {
        const { res, dialect } = this.options;
        if (this.status !== undefined) {
            res.reset();
            return;
        }
        const { status, headers, body } = dialect.writeError(err, request);
        const bytes = Buffer.from(body);
        this.sendWhole(status, [...headers, ["content-length", String(bytes.length)]], bytes);
    }
}
