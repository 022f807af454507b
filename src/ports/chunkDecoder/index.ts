import { Either, Left, Right } from "purify-ts";
import { ByteBuffer } from "../byteBuffer/index.js";
import { isFieldLine } from "../responseHead/index.js";

const LINE_END = "\r\n";
/** Maximum size of a chunk's first line, and of all trailers together, in bytes. */
const MAX_LINES_BYTES = 16 * 1024;
const CHUNK_SIZE = /^([0-9a-f]{1,8})[ \t]*(?:;|$)/i;

/** What comes next: the line with a chunk's size, its data, the line end behind them, a trailer, or nothing more. */
type Part = "size" | "data" | "data-end" | "trailer" | "nothing";

/**
 * Decodes the transfer coding `chunked` (RFC 9112, section 7.1) as the bytes arrive.
 *
 * @example
 * const data = decoder.push(bytes);
 * if (decoder.isComplete) return;
 */
export class ChunkDecoder {
    private readonly received = new ByteBuffer();
    private next: Part = "size";
    private missingBytes = 0;
    private trailerBytes = 0;

    /** Whether the last chunk and the trailers have arrived. */
    get isComplete(): boolean {
        return this.next === "nothing";
    }

    /**
     * Adds received bytes.
     *
     * @returns The data that they hold; bytes behind the end are ignored. Left: why they are malformed.
     */
    push(bytes: Uint8Array): Either<string, Uint8Array> {
        this.received.append(bytes);
        const data = new ByteBuffer();
        while (!this.isComplete) {
            const step = this.takeNext(data);
            if (step.isLeft()) return step as Either<string, never>;
            if (!step.extract()) break;
        }
        return Right(data.take());
    }

    /** @returns Whether the next part was there. */
    private takeNext(data: ByteBuffer): Either<string, boolean> {
        if (this.next === "data") return this.takeData(data);
        if (this.next === "data-end") return this.takeLineEnd();
        return this.takeLine().chain(line => {
            if (line === undefined) return Right(false);
            return this.next === "size" ? this.startChunk(line) : this.checkTrailer(line);
        });
    }

    private takeData(data: ByteBuffer): Either<string, boolean> {
        const taken = this.received.take(this.missingBytes);
        data.append(taken);
        this.missingBytes -= taken.length;
        if (this.missingBytes > 0) return Right(false);
        this.next = "data-end";
        return Right(true);
    }

    private takeLineEnd(): Either<string, boolean> {
        if (this.received.length < LINE_END.length) return Right(false);
        if (this.received.take(LINE_END.length).toString() !== LINE_END) return Left("a chunk of another size");
        this.next = "size";
        return Right(true);
    }

    private startChunk(line: string): Either<string, boolean> {
        const size = parseInt(CHUNK_SIZE.exec(line)?.[1] ?? "", 16);
        if (Number.isNaN(size)) return Left("an invalid chunk size");
        this.missingBytes = size;
        this.next = size === 0 ? "trailer" : "data";
        return Right(true);
    }

    private checkTrailer(line: string): Either<string, boolean> {
        this.trailerBytes += line.length + LINE_END.length;
        if (this.trailerBytes > MAX_LINES_BYTES) return Left("trailers that are too large");
        if (line !== "" && !isFieldLine(line)) return Left("an invalid trailer field");
        if (line === "") this.next = "nothing";
        return Right(true);
    }

    /** Takes a line without its end; undefined while it is not whole. */
    private takeLine(): Either<string, string | undefined> {
        const bytes = this.received.view().subarray(0, MAX_LINES_BYTES);
        const end = bytes.indexOf(LINE_END);
        if (end < 0) return bytes.length < MAX_LINES_BYTES ? Right(undefined) : Left("a line that is too long");
        this.received.take(end + LINE_END.length);
        return Right(bytes.toString("latin1", 0, end));
    }
}
