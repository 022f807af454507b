import { basename, dirname } from "node:path";
import { Either, Left } from "purify-ts";
import { FileDisk } from "../../ports/index.js";
import { parseSettings, Settings } from "../../settings/index.js";

/**
 * Reads and checks a settings file.
 *
 * @param path - The INI file.
 * @returns The settings, or one line per problem.
 * @example
 * const settings = await readSettings("/etc/sequoiamux/entry.ini");
 */
export async function readSettings(path: string): Promise<Either<readonly string[], Settings>> {
    const file = basename(path);
    try {
        const bytes = await new FileDisk(dirname(path)).read(file);
        if (!bytes) return Left([`${path}: there is no such file`]);
        return parseSettings(Buffer.from(bytes).toString("utf8"), file).mapLeft(errs => errs.map(err => err.message));
    }
    catch (err) {
        return Left([`${path}: ${(err as Error).message}`]);
    }
}
