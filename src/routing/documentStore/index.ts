import { Revision } from "../../ids/index.js";
import { FleetDocument } from "../fleetDocument/index.js";

/** Replaces the stored document if its version is higher. */
export interface ReplaceDocumentCommand {
    readonly kind: "document.replace";
    readonly document: FleetDocument;
    /** Text as sent by the operator, to be returned unchanged. */
    readonly source: Uint8Array;
}

/**
 * Result of the command. `replaced`: the document is now the stored one. `superseded`: the stored document has the same
 * or a higher version, and stays.
 */
export interface ReplaceDocumentResult {
    readonly state: "replaced" | "superseded";
    /** Revision from which on the stored document is in force. */
    readonly revision: Revision;
}

/** A document with the revision that stored it. */
export interface StoredDocument {
    readonly document: FleetDocument;
    readonly source: Uint8Array;
    readonly revision: Revision;
}

/**
 * The fleet document in force, maintained by commands of the control log.
 *
 * A version that is not higher changes nothing and is not an error: after a lost answer an operator sends a change
 * again, possibly when a colleague's later one is already in force.
 *
 * @example
 * const result = store.replace(command, context.index);
 */
export class DocumentStore {
    private stored: StoredDocument | undefined;

    get current(): StoredDocument | undefined {
        return this.stored;
    }

    /** Revision of the document in force; 0 before the first. */
    get revision(): Revision {
        return this.stored?.revision ?? 0 as Revision;
    }

    replace({ document, source }: ReplaceDocumentCommand, index: number): ReplaceDocumentResult {
        const isHigher = this.stored === undefined || document.version > this.stored.document.version;
        if (isHigher) this.stored = { document, source, revision: index as Revision };
        return { state: isHigher ? "replaced" : "superseded", revision: this.revision };
    }

    snapshot(): StoredDocument | undefined {
        return this.stored;
    }

    restore(stored: StoredDocument | undefined): void {
        this.stored = stored;
    }
}
