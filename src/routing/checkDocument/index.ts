import { Either, Left, Right } from "purify-ts";
import { isHeaderText } from "../../ports/index.js";
import { FleetDocument, fleetDocumentSchema, Route } from "../fleetDocument/index.js";

/** Reason for which a document is rejected as a whole. */
export class DocumentError extends Error {}

/**
 * Validates a document: its schema and the references between its parts.
 *
 * @param value - The operator's document, parsed from JSON.
 * @returns The document, or the first fault found with a message for the operator.
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
    const fault = findRouteFault(document) ?? findNameFault(document) ?? findKeyFault(document);
    return fault === undefined ? Right(document) : Left(new DocumentError(fault));
}

function findRouteFault({ routes, pools }: FleetDocument): string | undefined {
    const poolNames = new Set(pools.map(({ pool }) => pool));
    if (poolNames.size < pools.length) return "a pool stands twice";
    const matchKeys = new Set<string>();
    for (const route of routes) {
        const matchKey = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (matchKeys.has(matchKey)) return `route ${route.name}: another route has its host and path prefix`;
        matchKeys.add(matchKey);
        const missing = route.targets.find(({ pool }) => !poolNames.has(pool));
        if (missing) return `route ${route.name}: there is no pool ${missing.pool}`;
        if (sumWeights(route) <= 0) return `route ${route.name}: the weights of its targets add up to 0`;
    }
    return undefined;
}

/** Finds a text that could not be used: upstreams get the names of workspaces in a header, and callers send keys in one. */
function findNameFault({ workspaces = [] }: FleetDocument): string | undefined {
    for (const { workspace, keys } of workspaces) {
        if (!isHeaderText(workspace)) return `workspace ${JSON.stringify(workspace)}: a header can't hold its name`;
        // The message must not contain the key, since it ends up in logs.
        if (!keys.every(isHeaderText)) return `workspace ${workspace}: a header can't hold one of its keys`;
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
            // The message must not contain the key, since it ends up in logs.
            if (owner !== undefined && owner !== workspace) return `workspaces ${owner} and ${workspace} share a key`;
            owners.set(key, workspace);
        }
    }
    return undefined;
}

function sumWeights({ targets }: Route): number {
    return targets.reduce((sum, { weight }) => sum + weight, 0);
}
