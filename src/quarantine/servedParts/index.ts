import { PartId } from "../../ids/index.js";

/** Beyond this number, the part that was answered longest ago is forgotten. */
const MAX_PARTS = 8_192;

/**
 * Parts of prompts on which an answer has begun at this host, so that it can be told at once when one of them is suspected.
 *
 * @example
 * served.record(call.sharedParts);
 * served.has(part);
 */
export class ServedParts {
    /** The part answered longest ago first. */
    private readonly parts = new Set<PartId>();

    record(parts: readonly PartId[]): void {
        for (const part of parts) {
            this.parts.delete(part);
            this.parts.add(part);
        }
        while (this.parts.size > MAX_PARTS) this.parts.delete(this.parts.keys().next().value!);
    }

    has(part: PartId): boolean {
        return this.parts.has(part);
    }
}
