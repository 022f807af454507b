import { Revision } from "../../ids/index.js";
import { FleetDocument } from "../fleetDocument/index.js";

/** Puts a document in the place of the one held, if its version is higher. */
export interface ReplaceDocumentCommand {
    readonly kind: "document.replace";
    readonly document: FleetDocument;
    /** What the operator sent, to be read back unchanged. */
    readonly source: Uint8Array;
}

/** `replaced`: it is the one held now. `superseded`: one of the same or a higher version is, and stays. */
export interface ReplaceDocumentResult {
    readonly state: "replaced" | "superseded";
    /** The revision from which on the document held is in force. */
    readonly revision: Revision;
}

/** A document, and the revision that brought it. */
export interface HeldDocument {
    readonly document: FleetDocument;
    readonly source: Uint8Array;
    readonly revision: Revision;
}

/**
 * The document in force, as the control log keeps it.
 *
 * A version that is not higher changes nothing and is no fault: an operator sends a change again after a lost answer, perhaps when
 * a colleague's later one is in force already.
 *
 * @example
 * const result = book.replace(command, context.index);
 */
export class DocumentBook {
    private current: HeldDocument | undefined;

    get held(): HeldDocument | undefined {
        return this.current;
    }

    /** The revision of the document in force; 0 before the first. */
    get revision(): Revision {
        return this.current?.revision ?? 0 as Revision;
    }

    replace({ document, source }: ReplaceDocumentCommand, index: number): ReplaceDocumentResult {
        const isHigher = this.current === undefined || document.version > this.current.document.version;
        if (isHigher) this.current = { document, source, revision: index as Revision };
        return { state: isHigher ? "replaced" : "superseded", revision: this.revision };
    }

    snapshot(): HeldDocument | undefined {
        return this.current;
    }

    restore(held: HeldDocument | undefined): void {
        this.current = held;
    }
}
