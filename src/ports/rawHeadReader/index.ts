import { Socket } from "node:net";
import { ByteBuffer } from "../byteBuffer/index.js";
import { ResponseHead, takeResponseHead } from "../responseHead/index.js";

/**
 * Reads the head of the next response on a connection beside Node's parser, which receives the same bytes.
 *
 * What a head is does not depend on that parser: versions of Node.js differ in what they accept, and some of it can't be seen any more in
 * the headers that they report.
 *
 * @example
 * const reader = new RawHeadReader(socket, detail => cancel(detail));
 * req.on("response", () => use(reader.head));
 */
export class RawHeadReader {
    private readonly received = new ByteBuffer();
    private wholeHead: ResponseHead | undefined;

    /**
     * @param socket - A connection to which Node's parser listens already.
     * @param onInvalid - Called when the bytes are no response, before Node's parser reads them.
     */
    constructor(private readonly socket: Socket, private readonly onInvalid: (detail: string) => void) {
        socket.prependListener("data", this.read);
    }

    /** The final head; undefined while it is not whole, or where it is invalid. */
    get head(): ResponseHead | undefined {
        return this.wholeHead;
    }

    private readonly read = (bytes: Buffer): void => {
        this.received.append(bytes);
        takeResponseHead(this.received)
            .ifRight(head => head && this.finish(head))
            .ifLeft(detail => {
                this.finish(undefined);
                // Node stops listening for errors where the same bytes change the protocol, and an error without a listener ends the process.
                this.socket.on("error", () => undefined);
                this.onInvalid(detail);
            });
    };

    private finish(head: ResponseHead | undefined): void {
        this.wholeHead = head;
        this.socket.removeListener("data", this.read);
        this.received.take();
    }
}
