/** How the body of a request is framed. */
export type BodyFraming =
    | { readonly kind: "length"; readonly bytes: number; }
    | { readonly kind: "chunked"; };

/** What the next bytes of a connection belong to. */
type Part = "head" | "length" | "chunk-size" | "chunk-data" | "chunk-end" | "trailers";

const LF = 0x0a;
const CR = 0x0d;
const SEMICOLON = 0x3b;
const ZERO = 0x30;
const NINE = 0x39;
const LOWER_A = 0x61;
const LOWER_F = 0x66;
/** Set in the codes of lower-case letters only. */
const LOWER_CASE_BIT = 0x20;
const HEX_BASE = 16;
const DECIMAL_BASE = 10;
/** Maximum number of bytes taken at once where it is not known what they belong to. */
const MAX_UNKNOWN_BYTES = 1_024;

/**
 * Finds where heads, bodies and chunks end in the bytes of a connection, so that they can be handed to the parser in parts.
 *
 * It judges nothing: bytes that are no HTTP end up at the parser in small parts, which reports them.
 *
 * @example
 * const bounds = new RequestBounds();
 * const length = bounds.measure(bytes, 64);
 * parse(bytes.subarray(0, length));
 */
export class RequestBounds {
    private part: Part = "head";
    /** Bytes left of a body or of a chunk. */
    private left = 0;
    private chunkSize = 0;
    private isExtension = false;
    /** Whether the present line has no character so far. */
    private isLineEmpty = false;
    /** Whether a request has begun where no end of a head was seen. */
    private isLost = false;
    private hasSeenHeadEnd = false;

    /** Whether the next bytes begin a request, or go on with its head. */
    get isInHead(): boolean {
        return this.part === "head";
    }

    /** Records the body of the request whose head has been parsed. */
    beginBody(framing: BodyFraming): void {
        if (!this.hasSeenHeadEnd) this.isLost = true;
        this.hasSeenHeadEnd = false;
        if (framing.kind === "chunked") return this.beginChunk();
        this.left = framing.bytes;
        this.part = framing.bytes > 0 ? "length" : "head";
    }

    /**
     * Measures the next bytes that belong together: a head or what has come of it, the same of a body with a length, or some chunks.
     *
     * @param bytes - The next bytes, at least one.
     * @param maxChunks - Maximum number of chunks.
     * @returns Their number, at least 1. These bytes must then be parsed.
     */
    measure(bytes: Uint8Array, maxChunks: number): number {
        if (this.isLost) return Math.min(bytes.length, MAX_UNKNOWN_BYTES);
        if (this.part === "head") return this.measureHead(bytes);
        if (this.part === "length") return this.measureBody(bytes);
        return this.measureChunks(bytes, maxChunks);
    }

    private measureHead(bytes: Uint8Array): number {
        for (let at = 0; at < bytes.length; at++) {
            if (!this.endsEmptyLine(bytes[at])) continue;
            this.hasSeenHeadEnd = true;
            return at + 1;
        }
        return bytes.length;
    }

    private measureBody(bytes: Uint8Array): number {
        const length = Math.min(this.left, bytes.length);
        this.left -= length;
        if (this.left === 0) this.part = "head";
        return length;
    }

    private measureChunks(bytes: Uint8Array, maxChunks: number): number {
        let at = 0;
        let chunks = 0;
        while (at < bytes.length && this.part !== "head" && chunks < maxChunks) {
            if (this.part === "chunk-data") {
                const length = Math.min(this.left, bytes.length - at);
                this.left -= length;
                at += length;
                if (this.left === 0) this.part = "chunk-end";
                continue;
            }
            if (this.readFraming(bytes[at++])) chunks++;
        }
        return at;
    }

    /** Reads one byte of a chunk's framing, or of the trailers. Returns whether a chunk ends with it. */
    private readFraming(byte: number): boolean {
        if (this.part === "chunk-size") {
            this.readSize(byte);
            return false;
        }
        if (this.part === "chunk-end") {
            if (byte === LF) this.beginChunk();
            return byte === LF;
        }
        if (this.endsEmptyLine(byte)) this.part = "head";
        return false;
    }

    private readSize(byte: number): void {
        if (byte === LF) return this.beginData();
        if (byte === SEMICOLON) this.isExtension = true;
        const digit = this.isExtension ? undefined : readHexDigit(byte);
        if (digit !== undefined) this.chunkSize = HEX_BASE * this.chunkSize + digit;
    }

    private beginChunk(): void {
        this.part = "chunk-size";
        this.chunkSize = 0;
        this.isExtension = false;
    }

    private beginData(): void {
        this.left = this.chunkSize;
        this.part = this.left > 0 ? "chunk-data" : "trailers";
        this.isLineEmpty = true;
    }

    /** Whether a byte ends an empty line. */
    private endsEmptyLine(byte: number): boolean {
        if (byte === CR) return false;
        const isEnd = byte === LF && this.isLineEmpty;
        this.isLineEmpty = byte === LF && !isEnd;
        return isEnd;
    }
}

function readHexDigit(byte: number): number | undefined {
    if (byte >= ZERO && byte <= NINE) return byte - ZERO;
    const letter = byte | LOWER_CASE_BIT;
    return letter >= LOWER_A && letter <= LOWER_F ? letter - LOWER_A + DECIMAL_BASE : undefined;
}
