import { Either, Left, Right } from "purify-ts";
import { FleetDocument, fleetDocumentSchema, Route } from "../fleetDocument/index.js";

/** A document that is refused as a whole. */
export class DocumentError extends Error {}

/**
 * Judges a document: its shape, and that its parts fit together.
 *
 * @param value - What an operator sent, as read from JSON.
 * @returns The document, or the first fault found, for people.
 * @example
 * checkDocument(JSON.parse(text)).ifLeft(err => console.error(err.message));
 */
export function checkDocument(value: unknown): Either<DocumentError, FleetDocument> {
    const parsed = fleetDocumentSchema.safeParse(value);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return Left(new DocumentError(`${issue.path.join(".") || "document"}: ${issue.message}`));
    }
    const document = parsed.data;
    const fault = findRouteFault(document) ?? findKeyFault(document);
    return fault === undefined ? Right(document) : Left(new DocumentError(fault));
}

function findRouteFault({ routes, pools }: FleetDocument): string | undefined {
    const known = new Set(pools.map(({ pool }) => pool));
    if (known.size < pools.length) return "a pool stands twice";
    const places = new Set<string>();
    for (const route of routes) {
        const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (places.has(place)) return `route ${route.name}: another route has its host and path prefix`;
        places.add(place);
        const unknown = route.targets.find(({ pool }) => !known.has(pool));
        if (unknown) return `route ${route.name}: there is no pool ${unknown.pool}`;
        if (sumWeights(route) <= 0) return `route ${route.name}: the weights of its targets add up to 0`;
    }
    return undefined;
}

function findKeyFault({ workspaces = [] }: FleetDocument): string | undefined {
    const owners = new Map<string, string>();
    const names = new Set<string>();
    for (const { workspace, keys } of workspaces) {
        if (names.has(workspace)) return `workspace ${workspace} stands twice`;
        names.add(workspace);
        for (const key of keys) {
            const owner = owners.get(key);
            // The key itself stays out of the message, which ends in logs.
            if (owner !== undefined && owner !== workspace) return `workspaces ${owner} and ${workspace} share a key`;
            owners.set(key, workspace);
        }
    }
    return undefined;
}

function sumWeights({ targets }: Route): number {
    return targets.reduce((sum, { weight }) => sum + weight, 0);
}
