import { createHash } from "node:crypto";
import { PartId } from "../../ids/index.js";

/** Length in hex characters: 96 bits, so that collisions of different messages are practically impossible. */
const ID_CHARACTERS = 24;

/**
 * Identifies a message of a chat as a part of its prompt, by its content.
 *
 * @returns The same id for equal messages, on every host and in every version.
 * @example
 * const parts = chat.messages.slice(0, -1).map(identifyMessage);
 */
export function identifyMessage({ role, content }: { readonly role: string; readonly content: string; }): PartId {
    const hash = createHash("sha256").update(JSON.stringify([role, content])).digest("hex");
    return hash.slice(0, ID_CHARACTERS) as PartId;
}
