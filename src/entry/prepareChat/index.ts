import { Either, Left, Right } from "purify-ts";
import { PartId, PoolId, RequestFingerprint } from "../../ids/index.js";
import { HttpRequest } from "../../ports/index.js";
import { CALLER_PATHS, ChatRequest, chatRequestSchema, hashPrefixes } from "../../protocol/index.js";
import { fingerprintRequest, identifyMessage } from "../../quarantine/index.js";
import { ClassView, WorkspaceView } from "../../workspace/index.js";
import { readBody } from "../_lib/readBody.js";
import { Admission, checkPool, chooseClass } from "../admitRequest/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { refuseKeyInContent } from "../readKey/index.js";

/** A validated chat request. */
export interface PreparedChat {
    readonly workspace: WorkspaceView;
    readonly classView: ClassView;
    readonly pool: PoolId;
    readonly chat: ChatRequest;
    readonly maxTokens: number;
    /** Estimated number of prompt tokens; the engine counts the actual number. */
    readonly promptTokens: number;
    /** Hashes of the prompt's prefixes, which guide the choice of an upstream. */
    readonly prefixes: readonly string[];
    /** Identifies the chat by its content. */
    readonly fingerprint: RequestFingerprint;
    /** Identifies all of its messages but the last, each by its content. */
    readonly sharedParts: readonly PartId[];
}

const CHARACTERS_PER_TOKEN = 4;
/** Maximum number of prefixes hashed per prompt; more add little to the choice of an upstream. */
const MAX_PREFIX_COUNT = 24;

/** Reads and validates a chat request. */
export async function prepareChat(
    ctx: EntryContext,
    req: HttpRequest,
    { key, workspace }: Admission,
): Promise<Either<CallerError, PreparedChat>> {
    const body = await readBody(req, ctx.limits.bodyBytes);
    return body.chain(parseChat)
        .chain(chat => refuseKeyInContent(JSON.stringify(chat), key).map(() => chat))
        .chain(chat => {
            const named = typeof chat.service_tier === "string" ? chat.service_tier : undefined;
            const pool = chat.model as PoolId;
            return checkPool(workspace, pool).chain(() =>
                chooseClass(req, workspace, named).map(classView => describeChat(ctx, workspace, classView, chat))
            );
        });
}

function describeChat(
    ctx: EntryContext,
    workspace: WorkspaceView,
    classView: ClassView,
    chat: ChatRequest,
): PreparedChat {
    const contents = chat.messages.map(message => message.content);
    const characters = contents.reduce((sum, content) => sum + content.length, 0);
    return {
        workspace,
        classView,
        chat,
        pool: chat.model as PoolId,
        maxTokens: chat.max_tokens ?? ctx.limits.defaultMaxTokens,
        promptTokens: Math.ceil(characters / CHARACTERS_PER_TOKEN),
        prefixes: hashPrefixes(chat.messages, MAX_PREFIX_COUNT),
        sharedParts: chat.messages.slice(0, -1).map(identifyMessage),
        fingerprint: fingerprintRequest({
            method: "POST",
            host: "",
            path: CALLER_PATHS.chat,
            workspace: workspace.id,
            body: Buffer.from(JSON.stringify(chat)),
        }),
    };
}

function parseChat(body: Uint8Array): Either<CallerError, ChatRequest> {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return Left(new CallerError(400, "malformed", "the body is not JSON"));
    }
    const parsed = chatRequestSchema.safeParse(value);
    if (parsed.success) return Right(parsed.data);
    const issue = parsed.error.issues[0];
    return Left(new CallerError(400, "malformed", `${issue.path.join(".") || "body"}: ${issue.message}`));
}
