/** Generates `docs/SETTINGS.md` from the settings schemas. Run it in the root folder of the repository. */
import { FileDisk } from "../../ports/index.js";
import { formatPage } from "../index.js";

await new FileDisk("docs").replace("SETTINGS.md", Buffer.from(formatPage()));
