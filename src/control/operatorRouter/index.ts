import { initTRPC, TRPCError } from "@trpc/server";
import { Either } from "purify-ts";
import * as z from "zod";
import { ControlLog } from "../../consensus/index.js";
import { HostId, PartId, RequestFingerprint, TemplateName, WindowStart, WorkspaceId, ZoneId } from "../../ids/index.js";
import { PartResult, QuarantinedPart, QuarantinedRequest, QuarantineResult } from "../../quarantine/index.js";
import { checkDocument, DocumentError } from "../../routing/index.js";
import { ChangeResult, configChangeSchema } from "../../workspace/index.js";
import { EvacuatedZone, ZoneCommand, ZoneResult } from "../../zone/index.js";
import { ControlService, NotHolderError } from "../controlService/index.js";
import { ControlState } from "../controlState/index.js";
import { DocumentService, DocumentUnavailableError } from "../documentService/index.js";
import { ChangeUnavailableError } from "../durableChange/index.js";
import { QuarantineService } from "../quarantineService/index.js";
import { UnknownZoneError, ZoneEvacuation } from "../zoneEvacuation/index.js";

/** Maximum time that an operator's change waits until it is in force on all entries, in milliseconds. */
const IN_FORCE_WAIT_MS = 6_500;

/** Address of a control host's operators' API. */
export interface OperatorAddress {
    readonly host: HostId;
    /** `IP:port`. */
    readonly address: string;
}

/** Context of the procedures. */
export interface OperatorContext {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly service: ControlService;
    /** Undefined without document routing. */
    readonly documents?: DocumentService;
    /** Undefined without document routing. */
    readonly zones?: ZoneEvacuation;
    /** Undefined without document routing. */
    readonly quarantine?: QuarantineService;
    /** Control hosts listed in the settings; the addresses of others come from the announcements of holders. */
    readonly operatorAddresses: readonly OperatorAddress[];
}

/**
 * Reply to a change. `in-force`: every entry uses it or accepts no new work. `accepted`: it is committed to the log, but some entry may
 * not have it yet.
 */
export interface ChangeAnswer {
    readonly result: ChangeResult;
    readonly effect?: "in-force" | "accepted";
}

/** Reply to a submitted document. */
export interface DocumentAnswer {
    readonly version: number;
    /** `superseded`: a document of the same or a higher version is in force and stays. */
    readonly state: "replaced" | "superseded";
    readonly revision: number;
}

const trpc = initTRPC.context<OperatorContext>().create({
    errorFormatter({ shape, error, ctx }) {
        const holder = error.cause instanceof NotHolderError ? findHolderAddress(ctx) : undefined;
        // Stack traces are of no use to an operator.
        return { ...shape, data: { ...shape.data, stack: undefined, holder } };
    },
});

/** Reads and changes need the lease: a deposed holder would return outdated state and accept changes based on it. */
const holderProcedure = trpc.procedure.use(({ ctx, next }) => {
    if (ctx.log.holdsLease()) return next();
    const cause = new NotHolderError(ctx.log.holder());
    const message = cause.holder === undefined
        ? "no control host holds the lease now"
        : `the control lease is held by ${cause.holder}`;
    throw new TRPCError({ code: "PRECONDITION_FAILED", message, cause });
});

/** The operators' API of a control process. */
export const operatorRouter = trpc.router({
    change: holderProcedure.input(configChangeSchema).mutation(async ({ ctx, input }): Promise<ChangeAnswer> => {
        const proposed = await ctx.log.propose(input);
        const result = proposed.caseOf({
            Left: err => {
                const message = err.mayCommit
                    ? "it is not known whether the change was accepted; send it again with the same change id"
                    : "the change was not accepted";
                throw new TRPCError({ code: err.mayCommit ? "TIMEOUT" : "PRECONDITION_FAILED", message });
            },
            Right: given => given as ChangeResult,
        });
        if (result.kind !== "done") return { result };
        const inForce = await ctx.service.awaitInForce(result.revision, IN_FORCE_WAIT_MS);
        return { result, effect: inForce ? "in-force" : "accepted" };
    }),
    templates: holderProcedure.query(({ ctx }) => ctx.state.registry.listTemplates()),
    template: holderProcedure.input(z.string()).query(({ ctx, input }) =>
        requireFound(ctx.state.registry.template(input as TemplateName), `template ${input}`)
    ),
    workspaces: holderProcedure.query(({ ctx }) => ctx.state.registry.listWorkspaces()),
    workspace: holderProcedure.input(z.string()).query(({ ctx, input }) => {
        const { registry } = ctx.state;
        const record = requireFound(registry.workspace(input as WorkspaceId), `workspace ${input}`);
        return { ...record, view: registry.viewWorkspace(record.id)! };
    }),
    // Leaves out the hash, against which callers' keys are checked: operators have no use for it.
    keys: holderProcedure.input(z.string()).query(({ ctx, input }) => {
        const keys = ctx.state.registry.listKeys(input as WorkspaceId);
        return keys.map(({ id, workspace, operator, grantedAt, withdrawnAt }) => ({
            id,
            workspace,
            operator,
            grantedAt,
            withdrawnAt,
        }));
    }),
    hosts: holderProcedure.query(({ ctx }) => ctx.service.entries.listAcknowledged()),
    orders: holderProcedure.query(({ ctx }) => [...ctx.state.orders.listFinished(), ...ctx.state.orders.listOpen()]),
    windows: holderProcedure.query(({ ctx }) => {
        const { usage } = ctx.state;
        return { open: usage.listOpen(), closed: usage.listClosed() };
    }),
    window: holderProcedure.input(z.int()).query(({ ctx, input }) => {
        const { usage } = ctx.state;
        const windows = [...usage.listClosed(), ...usage.listOpen()];
        const found = windows.find(({ window }) => window === input as WindowStart);
        return requireFound(found, `usage window ${input}`);
    }),
    // Any control process accepts these calls: it forwards documents to the holder and reads linearizably.
    applyDocument: trpc.procedure.input(z.string()).mutation(async ({ ctx, input }): Promise<DocumentAnswer> => {
        const source = Buffer.from(input);
        const document = Either.encase(() => JSON.parse(input) as unknown)
            .mapLeft(err => new DocumentError(`not JSON: ${err.message}`))
            .chain(checkDocument)
            .caseOf({ Left: throwInvalidDocument, Right: checked => checked });
        const outcome = await requireDocuments(ctx).replace({ kind: "document.replace", document, source });
        const { state, revision } = outcome.caseOf({ Left: throwUnavailable, Right: result => result });
        return { version: document.version, state, revision };
    }),
    readDocument: trpc.procedure.query(async ({ ctx }): Promise<string> => {
        const read = await requireDocuments(ctx).read();
        const held = read.caseOf({ Left: throwUnavailable, Right: found => found });
        return Buffer.from(requireFound(held, "fleet document").source).toString();
    }),
    evacuateZone: trpc.procedure.input(z.string().min(1)).mutation(({ ctx, input }) =>
        submitZoneCommand(ctx, { kind: "zone.evacuate", zone: input as ZoneId })
    ),
    restoreZone: trpc.procedure.input(z.string().min(1)).mutation(({ ctx, input }) =>
        submitZoneCommand(ctx, { kind: "zone.restore", zone: input as ZoneId })
    ),
    evacuatedZones: trpc.procedure.query(async ({ ctx }): Promise<readonly EvacuatedZone[]> => {
        const read = await requireZones(ctx).read();
        return read.caseOf({ Left: throwUnavailable, Right: zones => zones });
    }),
    quarantinedRequests: trpc.procedure.query(async ({ ctx }): Promise<readonly QuarantinedRequest[]> => {
        const read = await requireQuarantine(ctx).read();
        return read.caseOf({ Left: throwUnavailable, Right: requests => requests });
    }),
    liftQuarantine: trpc.procedure.input(z.string().min(1)).mutation(
        async ({ ctx, input }): Promise<QuarantineResult> => {
            const outcome = await requireQuarantine(ctx).lift(input as RequestFingerprint);
            return outcome.caseOf({ Left: throwUnavailable, Right: result => result });
        },
    ),
    quarantinedParts: trpc.procedure.query(async ({ ctx }): Promise<readonly QuarantinedPart[]> => {
        const read = await requireQuarantine(ctx).readParts();
        return read.caseOf({ Left: throwUnavailable, Right: parts => parts });
    }),
    liftPartQuarantine: trpc.procedure.input(z.string().min(1)).mutation(
        async ({ ctx, input }): Promise<PartResult> => {
            const outcome = await requireQuarantine(ctx).liftPart(input as PartId);
            return outcome.caseOf({ Left: throwUnavailable, Right: result => result });
        },
    ),
    revision: holderProcedure.query(({ ctx }) => ctx.state.revision),
});

/** Router type for typed clients. */
export type OperatorRouter = typeof operatorRouter;

async function submitZoneCommand(ctx: OperatorContext, command: ZoneCommand): Promise<ZoneResult> {
    const outcome = await requireZones(ctx).order(command);
    return outcome.caseOf({
        Left: err => {
            if (err instanceof UnknownZoneError) throw new TRPCError({ code: "NOT_FOUND", message: err.message });
            return throwUnavailable(err);
        },
        Right: result => result,
    });
}

function requireZones({ zones }: OperatorContext): ZoneEvacuation {
    return requireRouting(zones, "zone evacuation");
}

function requireQuarantine({ quarantine }: OperatorContext): QuarantineService {
    return requireRouting(quarantine, "quarantine of requests");
}

function requireDocuments({ documents }: OperatorContext): DocumentService {
    return requireRouting(documents, "fleet document");
}

function requireRouting<Service>(service: Service | undefined, what: string): Service {
    return requireFound(service, `${what} on these control processes: their settings have no listen.upstreams`);
}

function throwInvalidDocument(err: DocumentError): never {
    throw new TRPCError({ code: "BAD_REQUEST", message: err.message });
}

/** The operator's tool retries at the next control process. */
function throwUnavailable(err: DocumentUnavailableError | ChangeUnavailableError): never {
    throw new TRPCError({ code: "TIMEOUT", message: err.message });
}

function requireFound<Found>(found: Found | undefined, what: string): Found {
    if (found !== undefined) return found;
    throw new TRPCError({ code: "NOT_FOUND", message: `there is no ${what}` });
}

function findHolderAddress(context: OperatorContext | undefined): string | undefined {
    const holder = context?.log.holder();
    if (!context || !holder) return undefined;
    const known = context.operatorAddresses.find(({ host }) => host === holder)?.address;
    return known ?? context.state.directory.find(holder);
}
